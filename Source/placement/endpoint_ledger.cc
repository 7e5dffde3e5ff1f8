#include "placement/endpoint_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/error.h"

namespace hickoryloft::placement {
namespace {

using Json = nlohmann::json;

Json ToItem(const endpoint::Artifact& artifact,
            const Reservation& reservation) {
  return {{"model", artifact.m_model.value()},
          {"adapter", artifact.m_adapter.value()},
          {"version", artifact.m_version},
          {"scope", reservation.m_scope},
          {"fence", reservation.m_fence},
          {"bytes", reservation.m_bytes},
          {"peak_bytes", reservation.m_peak_bytes},
          {"state", static_cast<int>(reservation.m_state)},
          {"order", reservation.m_order_number},
          {"peaks", reservation.m_counts_peak}};
}

ReservationState ToState(int number) {
  if (number < 0 || number > static_cast<int>(ReservationState::kUnloading)) {
    throw Error(ErrorCode::kProtocol, "ledger: unknown reservation state");
  }
  return static_cast<ReservationState>(number);
}

void AddItem(const Json& item, EndpointLedger& ledger) {
  const endpoint::Artifact artifact{
      .m_model = ModelId(item.at("model").get<std::string>()),
      .m_adapter = AdapterId(item.at("adapter").get<std::string>()),
      .m_version = item.at("version").get<std::string>()};
  ledger.m_reservations[artifact] =
      Reservation{.m_scope = item.at("scope").get<std::string>(),
                  .m_fence = item.at("fence").get<FencingNumber>(),
                  .m_bytes = item.at("bytes").get<std::uint64_t>(),
                  .m_peak_bytes = item.at("peak_bytes").get<std::uint64_t>(),
                  .m_state = ToState(item.at("state").get<int>()),
                  .m_order_number = item.at("order").get<std::uint64_t>(),
                  .m_counts_peak = item.at("peaks").get<bool>()};
}

}  // namespace

std::uint64_t EndpointLedger::UsedBytes() const {
  std::uint64_t total = 0;
  for (const auto& [artifact, reservation] : m_reservations) {
    total += reservation.m_counts_peak
                 ? std::max(reservation.m_peak_bytes, reservation.m_bytes)
                 : reservation.m_bytes;
  }
  return total;
}

std::string EndpointLedger::ToJson() const {
  Json items = Json::array();
  for (const auto& [artifact, reservation] : m_reservations) {
    items.push_back(ToItem(artifact, reservation));
  }
  return Json{{"next_order", m_next_order}, {"items", std::move(items)}}.dump();
}

EndpointLedger EndpointLedger::FromJson(const std::string& text) {
  EndpointLedger ledger;
  if (text.empty()) {
    return ledger;
  }
  try {
    const Json root = Json::parse(text);
    ledger.m_next_order = root.at("next_order").get<std::uint64_t>();
    for (const Json& item : root.at("items")) {
      AddItem(item, ledger);
    }
  } catch (const Json::exception& failure) {
    throw Error(ErrorCode::kProtocol, std::string("ledger: ") + failure.what());
  }
  return ledger;
}

}  // namespace hickoryloft::placement
