// Memory state of an engine: artifacts, orders and fencing numbers, without a
// clock or network.

#ifndef STANDINS_ENGINE_MEMORY_H_
#define STANDINS_ENGINE_MEMORY_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hickoryloft::standins {

// A model, or one of its adapters, at one version. Model names contain the name
// of their service: "<service>/<model>".
struct EngineArtifact {
  std::string m_model;
  std::string m_adapter;
  std::string m_version;

  // "<model>[:<adapter>]@<version>"
  std::string ServedName() const;
  bool is_adapter() const { return !m_adapter.empty(); }
};

struct EngineOrder {
  bool m_is_load = false;
  std::uint64_t m_number = 0;
  std::string m_scope;
  std::int64_t m_fence = 0;
  EngineArtifact m_artifact;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_peak_bytes = 0;
};

// Throws Error(kInvalidArgument) if `body` is not a valid order.
EngineOrder ParseEngineOrder(const nlohmann::json& body);

// The response to an order.
struct OrderAnswer {
  int m_status = 0;
  std::string m_code;       // "accepted", "fenced" or "refused".
  std::string m_reason;     // Why it was refused.
  bool m_repeated = false;  // The order number was answered before.
};

enum class EnginePhase { kLoading, kReady, kUnloading };

struct EngineItem {
  EngineArtifact m_artifact;
  EnginePhase m_phase = EnginePhase::kLoading;
  std::uint64_t m_bytes = 0;       // Once loaded.
  std::uint64_t m_peak_bytes = 0;  // While loading.
  std::uint64_t m_order_number = 0;
};

// Not thread-safe.
class EngineMemory {
 public:
  EngineMemory(std::uint64_t memory_bytes, bool checks_fencing)
      : m_memory_bytes(memory_bytes), m_checks_fencing(checks_fencing) {}

  bool checks_fencing() const { return m_checks_fencing; }

  // Executes an order. An order number is executed once: a repeated number gets
  // the answer of the first time, unless that was "fenced". After an accepted
  // load the artifact is in phase kLoading; after an accepted unload it is in
  // phase kUnloading or removed.
  OrderAnswer Execute(const EngineOrder& order);
  // Raises the lowest accepted fencing number of `scope` to `fence`, if that is
  // higher, and returns it. Precondition: checks_fencing().
  std::int64_t RaiseFence(const std::string& scope, std::int64_t fence);

  // Complete a load or an unload: do nothing unless the artifact is in phase
  // kLoading or kUnloading, respectively. A load is completed only for the
  // order that started it, so that an aborted load does not complete a later
  // one.
  void FinishLoad(const std::string& served_name, std::uint64_t order_number);
  void FinishUnload(const std::string& served_name);

  const std::map<std::string, EngineItem>& items() const { return m_items; }
  // Returns the item if it is ready to serve, else nullptr.
  const EngineItem* FindReady(const std::string& served_name) const;

  // Returns the items of /inventory.
  nlohmann::json ItemsJson() const;
  std::uint64_t memory_bytes() const { return m_memory_bytes; }
  std::uint64_t last_order_number() const { return m_last_order_number; }
  // Returns the bytes in use, counting a loading artifact with its peak.
  std::uint64_t UsedBytes() const;
  // Returns the part of /record on orders and memory.
  nlohmann::json RecordJson() const;

 private:
  OrderAnswer ExecuteNew(const EngineOrder& order);
  OrderAnswer Load(const EngineOrder& order);
  OrderAnswer Unload(const EngineOrder& order);
  bool HasModel(const EngineArtifact& adapter) const;
  void RecordOrder(const EngineOrder& order, const OrderAnswer& answer);

  std::uint64_t m_memory_bytes;
  bool m_checks_fencing;
  std::map<std::string, EngineItem> m_items;  // By served name.
  std::map<std::string, std::int64_t> m_lowest_fences;
  std::map<std::uint64_t, OrderAnswer> m_answers;  // By order number.
  std::uint64_t m_last_order_number = 0;
  std::uint64_t m_most_bytes = 0;
  std::uint64_t m_completed_loads = 0;
  nlohmann::json m_orders = nlohmann::json::array();
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_ENGINE_MEMORY_H_
