#include "fleet/fleet_state_feed.h"

#include <catch2/catch.hpp>

#include "Tests/fleet/manual_key_value_service.h"
#include "Tests/fleet/plain_decoder.h"
#include "base/history.h"
#include "keyvalue/memory_key_value_service.h"

using namespace hickoryloft;
using namespace hickoryloft::fleet;

namespace {

struct Host {
  Host() { m_feed.Start(); }

  void Put(const std::string& key, const std::string& value) {
    m_store.Get(key, [this, key, value](const auto& found) {
      const auto& items = found.value().m_items;
      m_store.Swap(
          {.m_key = key,
           .m_expected_revision = items.empty() ? 0 : items[0].m_mod_revision,
           .m_value = value},
          [](const auto&) {});
    });
    Run();
  }
  void Run() {
    const auto end = m_loop.After(milliseconds(30), [this] { m_loop.Stop(); });
    m_loop.Run();
  }

  EventLoop m_loop;
  keyvalue::MemoryKeyValueService m_store{m_loop};
  PlainDecoder m_decoder;
  int m_configurations = 0;
  FleetStateFeed m_feed{
      m_loop,
      m_store,
      m_decoder,
      {.m_configuration_changed = [this] { ++m_configurations; },
       .m_endpoint_changed = [](const EndpointId&) {},
       .m_own_keys_changed = [] {}}};
};

}  // namespace

TEST_CASE("A host is not complete until it has read a configuration") {
  Host host;
  host.Run();
  CHECK_FALSE(host.m_feed.complete());
  host.Put("config", "4");
  CHECK(host.m_feed.complete());
  CHECK(host.m_feed.configuration()->version() == 4);
}

TEST_CASE("Older and unreadable configurations are ignored") {
  Host host;
  host.Put("config", "7");
  host.Put("config", "5");
  CHECK(host.m_feed.configuration()->version() == 7);
  host.Put("config", "broken");
  CHECK(host.m_feed.configuration()->version() == 7);
  host.Put("config", "9");
  CHECK(host.m_feed.configuration()->version() == 9);
  CHECK(host.m_configurations == 2);
}

TEST_CASE("An unreadable endpoint entry is ignored, others are kept") {
  Host host;
  host.Put("config", "1");
  host.Put("e/a", "fine");
  host.Put("e/b", "broken");
  CHECK(host.m_feed.directory().Find(EndpointId("a")) != nullptr);
  CHECK(host.m_feed.directory().Find(EndpointId("b")) == nullptr);
  host.Put("e/a", "broken");
  CHECK(host.m_feed.directory().Find(EndpointId("a")) != nullptr);
}

TEST_CASE("The system's own keys are kept separately") {
  Host host;
  host.Put("config", "1");
  host.Put("mine", "x");
  CHECK(host.m_feed.own_keys().at("mine").m_value == "x");
}

// Guards against a server that is never used again after a restore (DENIED). A
// host that hears of the restore from another host reads everything; the answer
// tells its own store client of the new era, which reports it once more.
TEST_CASE("A lost registration may come back however the restore is heard") {
  EventLoop loop;
  ManualKeyValueService store;
  const PlainDecoder decoder;
  FleetStateFeed feed(loop, store, decoder,
                      {.m_configuration_changed = [] {},
                       .m_endpoint_changed = [](const EndpointId&) {},
                       .m_own_keys_changed = [] {}});
  store.Put("config", "1");
  store.Put("e/a", "ready");
  feed.Start();
  REQUIRE(feed.directory().Find(EndpointId("a")) != nullptr);

  const int reads = GENERATE(1, 2);
  CAPTURE(reads);
  store.m_history.pop_back();  // The copy is from before the registration.
  store.m_revision = InEra(1, 1);
  for (int i = 0; i < reads; ++i) {
    feed.ObserveEra(1);
  }
  const auto end = loop.After(milliseconds(2300), [&loop] { loop.Stop(); });
  loop.Run();
  REQUIRE(feed.directory().Find(EndpointId("a")) == nullptr);

  store.Put("e/a", "ready");
  store.m_changed(store.After(feed.revision(), loop.Now()));
  CHECK(feed.directory().Find(EndpointId("a")) != nullptr);
}
