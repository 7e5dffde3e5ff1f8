#ifndef TESTS_FLEET_RELAYED_HOST_H_
#define TESTS_FLEET_RELAYED_HOST_H_

#include <map>
#include <string>

#include "Tests/fleet/manual_key_value_service.h"
#include "fleet/fleet_state_feed.h"

namespace hickoryloft::fleet {

class KeysOnlyDecoder : public FleetDecoder {
 public:
  ItemClass Classify(const std::string& key) const override {
    return key == "config" ? ItemClass::kConfiguration : ItemClass::kOther;
  }
  FailureDomainId EvacuatedDomainOf(const std::string& key) const override {
    return FailureDomainId(key);
  }
  EndpointId EndpointOf(const std::string& key) const override {
    return EndpointId(key);
  }
  Configuration DecodeConfiguration(const std::string& value) const override {
    return {.m_version = std::stoll(value)};
  }
  EndpointEntry DecodeEndpoint(const keyvalue::KeyValue& item) const override {
    return {.m_id = EndpointId(item.m_key)};
  }
};

// A host with its change log and its own calls to the service `truth`.
struct Host {
  explicit Host(const ManualKeyValueService& truth) {
    m_service.m_source = &truth;
    m_feed.Start();
  }
  std::map<std::string, std::string> State() const {
    std::map<std::string, std::string> state;
    for (const auto& [key, item] : m_feed.own_keys()) {
      state[key] = item.m_value;
    }
    return state;
  }

  EventLoop m_loop;
  ManualKeyValueService m_service;
  KeysOnlyDecoder m_decoder;
  ChangeLog m_log;
  FleetStateFeed m_feed{
      m_loop,
      m_service,
      m_decoder,
      {.m_configuration_changed = [] {},
       .m_endpoint_changed = [](const EndpointId&) {},
       .m_own_keys_changed = [] {},
       .m_batch_applied =
           [this](Revision from, const keyvalue::WatchBatch& batch) {
             m_log.Append(from, batch);
           }}};
};

struct Proof {
  Revision m_revision;
  MonotonicTime m_as_of;
};

}  // namespace hickoryloft::fleet

#endif  // TESTS_FLEET_RELAYED_HOST_H_
