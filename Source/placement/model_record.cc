#include "placement/model_record.h"

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace hickoryloft::placement {

using Json = nlohmann::json;

std::string ModelRecord::ToJson() const {
  Json items = Json::array();
  for (const DecidedReplica& replica : m_replicas) {
    items.push_back({{"endpoint", replica.m_endpoint.value()},
                     {"version", replica.m_version}});
  }
  return Json{{"replicas", std::move(items)}}.dump();
}

ModelRecord ModelRecord::FromJson(const std::string& text) {
  ModelRecord record;
  if (text.empty()) {
    return record;
  }
  try {
    const Json root = Json::parse(text);
    for (const Json& item : root.at("replicas")) {
      record.m_replicas.insert(
          {.m_endpoint = EndpointId(item.at("endpoint").get<std::string>()),
           .m_version = item.at("version").get<std::string>()});
    }
  } catch (const Json::exception& failure) {
    throw Error(ErrorCode::kProtocol,
                std::string("model record: ") + failure.what());
  }
  return record;
}

}  // namespace hickoryloft::placement
