#include "placement/store_record.h"

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace hickoryloft::placement {

using Json = nlohmann::json;

std::string StoreRecord::ToJson() const {
  Json slots = Json::object();
  for (const auto& [name, slot] : m_slots) {
    slots[name] = {{"scope", slot.m_scope}, {"fence", slot.m_fence}};
  }
  return Json{{"slots", std::move(slots)}}.dump();
}

StoreRecord StoreRecord::FromJson(const std::string& text) {
  StoreRecord record;
  if (text.empty()) {
    return record;
  }
  try {
    const Json root = Json::parse(text);
    for (const auto& [name, slot] : root.at("slots").items()) {
      record.m_slots[name] = {.m_scope = slot.at("scope").get<std::string>(),
                              .m_fence = slot.at("fence").get<FencingNumber>()};
    }
  } catch (const Json::exception& failure) {
    throw Error(ErrorCode::kProtocol,
                std::string("store record: ") + failure.what());
  }
  return record;
}

}  // namespace hickoryloft::placement
