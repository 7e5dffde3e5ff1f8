#include "host/readiness.h"

#include <catch2/catch.hpp>

#include "Tests/fleet/manual_key_value_service.h"
#include "Tests/fleet/plain_decoder.h"

using namespace hickoryloft;
using namespace hickoryloft::host;

namespace {

struct StartedHost {
  StartedHost() {
    m_store.Put("config", "4");
    m_feed.Start();
  }

  EventLoop m_loop;
  fleet::ManualKeyValueService m_store;
  fleet::PlainDecoder m_decoder;
  fleet::FleetStateFeed m_feed{m_loop,
                               m_store,
                               m_decoder,
                               {.m_configuration_changed = [] {},
                                .m_endpoint_changed = [](const EndpointId&) {},
                                .m_own_keys_changed = [] {}}};
  HostSettings m_settings;
  Readiness m_readiness{m_loop, m_settings, m_feed};
};

}  // namespace

TEST_CASE("A host is ready when another one has no newer configuration") {
  StartedHost host;
  CHECK_FALSE(host.m_readiness.Ready(false));
  host.m_readiness.RecordPeerConfiguration(5);
  CHECK_FALSE(host.m_readiness.Ready(false));
  host.m_readiness.RecordPeerConfiguration(4);
  CHECK(host.m_readiness.Ready(false));
}

// A host that has just started, too, states version 0 until it has read one.
TEST_CASE("A host without a configuration confirms none") {
  StartedHost host;
  host.m_readiness.RecordPeerConfiguration(0);
  CHECK_FALSE(host.m_readiness.Ready(false));
}
