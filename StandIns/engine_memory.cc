#include "StandIns/engine_memory.h"

#include <algorithm>

#include "base/error.h"

namespace hickoryloft::standins {

namespace {

using Json = nlohmann::json;

constexpr int kAcceptedStatus = 202;
constexpr int kFencedStatus = 409;
constexpr int kRefusedStatus = 507;

OrderAnswer Accepted() {
  return {.m_status = kAcceptedStatus, .m_code = "accepted"};
}

OrderAnswer Refused(const std::string& reason) {
  return {.m_status = kRefusedStatus, .m_code = "refused", .m_reason = reason};
}

const char* ToString(EnginePhase phase) {
  switch (phase) {
    case EnginePhase::kLoading:
      return "loading";
    case EnginePhase::kReady:
      return "ready";
    case EnginePhase::kUnloading:
      return "unloading";
  }
  return "unknown";
}

std::uint64_t CurrentBytes(const EngineItem& item) {
  return item.m_phase == EnginePhase::kLoading ? item.m_peak_bytes
                                               : item.m_bytes;
}

}  // namespace

std::string EngineArtifact::ServedName() const {
  const std::string adapter = m_adapter.empty() ? "" : ":" + m_adapter;
  return m_model + adapter + "@" + m_version;
}

EngineOrder ParseEngineOrder(const Json& body) {
  try {
    const auto bytes = body.value("bytes", std::uint64_t{0});
    return {.m_is_load = body.at("kind") == "load",
            .m_number = body.at("number").get<std::uint64_t>(),
            .m_scope = body.value("scope", ""),
            .m_fence = body.value("fence", std::int64_t{0}),
            .m_artifact = {.m_model = body.at("model").get<std::string>(),
                           .m_adapter = body.value("adapter", ""),
                           .m_version = body.value("version", "")},
            .m_bytes = bytes,
            .m_peak_bytes =
                std::max(bytes, body.value("peak_bytes", std::uint64_t{0}))};
  } catch (const Json::exception& error) {
    throw Error(ErrorCode::kInvalidArgument, error.what());
  }
}

OrderAnswer EngineMemory::Execute(const EngineOrder& order) {
  if (const auto earlier = m_answers.find(order.m_number);
      earlier != m_answers.end()) {
    OrderAnswer answer = earlier->second;
    answer.m_repeated = true;
    RecordOrder(order, answer);
    return answer;
  }
  OrderAnswer answer = ExecuteNew(order);
  RecordOrder(order, answer);
  if (answer.m_status != kFencedStatus) {
    m_answers[order.m_number] = answer;
    m_last_order_number = std::max(m_last_order_number, order.m_number);
  }
  m_most_bytes = std::max(m_most_bytes, UsedBytes());
  return answer;
}

std::int64_t EngineMemory::RaiseFence(const std::string& scope,
                                      std::int64_t fence) {
  std::int64_t& lowest_accepted = m_lowest_fences[scope];
  lowest_accepted = std::max(lowest_accepted, fence);
  return lowest_accepted;
}

void EngineMemory::FinishLoad(const std::string& served_name,
                              std::uint64_t order_number) {
  const auto found = m_items.find(served_name);
  if (found == m_items.end() ||
      found->second.m_phase != EnginePhase::kLoading ||
      found->second.m_order_number != order_number) {
    return;
  }
  found->second.m_phase = EnginePhase::kReady;
  ++m_completed_loads;
}

void EngineMemory::FinishUnload(const std::string& served_name) {
  const auto found = m_items.find(served_name);
  if (found != m_items.end() &&
      found->second.m_phase == EnginePhase::kUnloading) {
    m_items.erase(found);
  }
}

const EngineItem* EngineMemory::FindReady(
    const std::string& served_name) const {
  const auto found = m_items.find(served_name);
  const bool ready =
      found != m_items.end() && found->second.m_phase == EnginePhase::kReady;
  return ready ? &found->second : nullptr;
}

Json EngineMemory::ItemsJson() const {
  Json items = Json::array();
  for (const auto& [name, item] : m_items) {
    items.push_back({{"model", item.m_artifact.m_model},
                     {"adapter", item.m_artifact.m_adapter},
                     {"version", item.m_artifact.m_version},
                     {"phase", ToString(item.m_phase)},
                     {"bytes", CurrentBytes(item)},
                     {"order_number", item.m_order_number}});
  }
  return items;
}

std::uint64_t EngineMemory::UsedBytes() const {
  std::uint64_t bytes = 0;
  for (const auto& [name, item] : m_items) {
    bytes += CurrentBytes(item);
  }
  return bytes;
}

Json EngineMemory::RecordJson() const {
  return {{"orders", m_orders},
          {"most_bytes", m_most_bytes},
          {"memory_bytes", m_memory_bytes},
          {"used_bytes", UsedBytes()},
          {"loads_executed", m_completed_loads}};
}

OrderAnswer EngineMemory::ExecuteNew(const EngineOrder& order) {
  if (m_checks_fencing) {
    std::int64_t& lowest_accepted = m_lowest_fences[order.m_scope];
    if (order.m_fence < lowest_accepted) {
      return {.m_status = kFencedStatus, .m_code = "fenced"};
    }
    lowest_accepted = order.m_fence;
  }
  return order.m_is_load ? Load(order) : Unload(order);
}

OrderAnswer EngineMemory::Load(const EngineOrder& order) {
  const std::string name = order.m_artifact.ServedName();
  if (m_items.contains(name)) {
    return Refused("already_present");
  }
  if (order.m_artifact.is_adapter() && !HasModel(order.m_artifact)) {
    return Refused("model_not_loaded");
  }
  if (UsedBytes() + order.m_peak_bytes > m_memory_bytes) {
    return Refused("out_of_memory");
  }
  m_items[name] = {.m_artifact = order.m_artifact,
                   .m_phase = EnginePhase::kLoading,
                   .m_bytes = order.m_bytes,
                   .m_peak_bytes = order.m_peak_bytes,
                   .m_order_number = order.m_number};
  return Accepted();
}

OrderAnswer EngineMemory::Unload(const EngineOrder& order) {
  const auto found = m_items.find(order.m_artifact.ServedName());
  if (found == m_items.end()) {
    return Accepted();
  }
  if (found->second.m_phase == EnginePhase::kLoading) {
    // The load is aborted and its memory freed at once.
    m_items.erase(found);
    return Accepted();
  }
  found->second.m_phase = EnginePhase::kUnloading;
  found->second.m_order_number = order.m_number;
  return Accepted();
}

bool EngineMemory::HasModel(const EngineArtifact& adapter) const {
  return std::any_of(m_items.begin(), m_items.end(), [&](const auto& entry) {
    const EngineItem& item = entry.second;
    return !item.m_artifact.is_adapter() &&
           item.m_artifact.m_model == adapter.m_model &&
           item.m_phase == EnginePhase::kReady;
  });
}

void EngineMemory::RecordOrder(const EngineOrder& order,
                               const OrderAnswer& answer) {
  m_orders.push_back({{"kind", order.m_is_load ? "load" : "unload"},
                      {"number", order.m_number},
                      {"artifact", order.m_artifact.ServedName()},
                      {"scope", order.m_scope},
                      {"fence", order.m_fence},
                      {"outcome", answer.m_code},
                      {"reason", answer.m_reason},
                      {"repeated", answer.m_repeated}});
}

}  // namespace hickoryloft::standins
