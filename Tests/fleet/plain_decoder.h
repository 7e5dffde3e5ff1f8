#ifndef TESTS_FLEET_PLAIN_DECODER_H_
#define TESTS_FLEET_PLAIN_DECODER_H_

#include <string>

#include "fleet/protocols.h"

namespace hickoryloft::fleet {

// Keys "config", "e/<id>" and "evacuate/<failure domain>"; a configuration's
// value is its version, an endpoint's is its failure domain.
class PlainDecoder : public FleetDecoder {
 public:
  ItemClass Classify(const std::string& key) const override {
    if (key == "config") {
      return ItemClass::kConfiguration;
    }
    if (key.starts_with("evacuate/")) {
      return ItemClass::kEvacuation;
    }
    return key.starts_with("e/") ? ItemClass::kEndpoint : ItemClass::kOther;
  }
  FailureDomainId EvacuatedDomainOf(const std::string& key) const override {
    if (key == "evacuate/") {
      throw Error(ErrorCode::kProtocol, "no name");
    }
    return FailureDomainId(key.substr(sizeof("evacuate/") - 1));
  }
  EndpointId EndpointOf(const std::string& key) const override {
    return EndpointId(key.substr(2));
  }
  Configuration DecodeConfiguration(const std::string& value) const override {
    if (value == "broken") {
      throw Error(ErrorCode::kProtocol, "broken");
    }
    return {.m_version = std::stoll(value)};
  }
  EndpointEntry DecodeEndpoint(const keyvalue::KeyValue& item) const override {
    if (item.m_value == "broken") {
      throw Error(ErrorCode::kProtocol, "broken");
    }
    return {.m_id = EndpointOf(item.m_key),
            .m_failure_domain = FailureDomainId(item.m_value)};
  }
};

}  // namespace hickoryloft::fleet

#endif  // TESTS_FLEET_PLAIN_DECODER_H_
