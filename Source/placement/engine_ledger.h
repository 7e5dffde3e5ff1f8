// The placement leader's state of one engine beyond its registration.

#ifndef SOURCE_PLACEMENT_ENGINE_LEDGER_H_
#define SOURCE_PLACEMENT_ENGINE_LEDGER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "fleet/configuration.h"
#include "fleet/endpoint_entry.h"
#include "fleet/engine_orders.h"

namespace hickoryloft::placement {

enum class OrderPhase {
  kSending,     // No answer yet.
  kUnanswered,  // May have been accepted; will be resent with the same number.
  kRunning,     // Accepted; its effect has not been observed yet.
};

// The order that was sent to an engine and has not completed. An engine has at
// most one.
struct OpenOrder {
  fleet::OrderOperation m_operation = fleet::OrderOperation::kLoad;
  ModelId m_model;
  AdapterId m_adapter;
  fleet::WeightTier m_tier = fleet::WeightTier::kStore;  // For loads only.
  OrderPhase m_phase = OrderPhase::kSending;
  MonotonicTime m_since;  // Start of the phase.
  MonotonicTime m_accepted_at;
  Duration m_expected{};   // Estimated execution time.
  MonotonicTime m_ask_at;  // When to ask the engine whether it has finished.
  // Loads from the weight store at the time of acceptance, including this one.
  int m_store_loads = 0;
  bool m_resent = false;  // An earlier copy may have been accepted.
  // The engine has said that it executes this order. Otherwise it may execute
  // another one, of an earlier leader.
  bool m_accepted = false;
};

// The bookkeeping for one incarnation of an engine. Not thread-safe.
struct EngineLedger {
  std::int64_t m_started_at_ms = 0;  // Identifies the incarnation.
  // Number of orders accepted so far; unset until the engine has reported it.
  std::optional<std::int64_t> m_accepted_orders;
  // The engine has accepted at least this many; a report of fewer is outdated.
  std::int64_t m_least_accepted_orders = 0;
  bool m_report_requested = false;
  // Models in the last report that have not been unloaded since. The list can
  // be ahead of the registration while the store propagates changes.
  std::unordered_set<ModelId> m_reported_models;
  // Registered models that the engine has reported as not loaded: the
  // registration is outdated.
  std::unordered_set<ModelId> m_absent_models;
  MonotonicTime m_reported_at;
  std::optional<OpenOrder> m_open;
  // The model that the next orders free memory for and load.
  ModelId m_target;
  // No request waits for the target yet; a model with waiting requests may
  // replace it.
  bool m_is_preload = false;
  // Models to be evicted for a target that is preloaded.
  std::vector<ModelId> m_victims;
  // After a failure, no orders are sent before this time.
  MonotonicTime m_paused_until;
  // Loaded adapters and the time since which each has been loaded.
  std::map<ModelId, std::map<AdapterId, MonotonicTime>> m_adapters;

  // The registration's adapters have been copied to m_adapters.
  bool m_adapters_imported = false;

  // Returns whether the engine of `entry` holds `model`, according to its
  // registration and later reports.
  bool Holds(const fleet::EndpointEntry& entry, const ModelId& model) const {
    return entry.m_models.contains(model) && !m_absent_models.contains(model);
  }

  // Takes over the counts, models and adapters of a report. Precondition: the
  // report is not outdated.
  void ApplyReport(const fleet::EngineReport& report, MonotonicTime now);
  // Records that the engine has accepted one more order.
  void CountAcceptedOrder() {
    m_least_accepted_orders =
        std::max(m_least_accepted_orders, ++*m_accepted_orders);
  }

  void SetTarget(const ModelId& model) {
    m_target = model;
    m_is_preload = false;
    m_victims.clear();
  }
  void ClearTarget() { SetTarget(ModelId()); }
  // Returns whether the engine cannot be assigned another model now.
  bool Occupied() const {
    return m_open || (!m_target.empty() && !m_is_preload);
  }

  int AdapterCount() const;
  // Returns the adapter that was loaded first. Adapters that may still be in
  // transfer are skipped, since they cannot be unloaded.
  std::optional<std::pair<ModelId, AdapterId>> OldestAdapter(
      MonotonicTime now) const;
};

// The memory that models need. Engines may hold models that have left the
// configuration since; the last known sizes of these are kept. Not thread-safe.
class ModelSizes {
 public:
  // Takes over the sizes of a configuration. Removed models for which `is_held`
  // returns false are forgotten.
  void Update(const fleet::EngineSpec& spec,
              const std::function<bool(const ModelId&)>& is_held);
  // Returns the size in megabytes: that of a whole engine if it is unknown.
  double MegabytesOf(const ModelId& model) const;
  // Returns the size of each adapter of `model`: the largest of all models if
  // it is unknown.
  double AdapterMegabytesOf(const ModelId& model) const;
  // Returns the memory that the adapters of an engine may need at most.
  double AdapterReserve(const fleet::EngineSpec& spec) const;

 private:
  struct Sizes {
    double m_megabytes = 0;
    double m_adapter_megabytes = 0;  // 0 if it has no adapters.
  };

  double m_engine_megabytes = 0;
  std::unordered_map<ModelId, Sizes> m_sizes;
  double m_largest_adapter = 0;
};

// A registration reflects a change within this time, unless the store is slow.
constexpr Duration kRegistrationLag = seconds(3);

// Returns the memory, in megabytes, needed by the models of the registration,
// those of the last report, and the one that the open order may still load.
// Thread-safe.
double ModelMegabytes(const fleet::EndpointEntry& entry,
                      const EngineLedger& ledger,
                      const ModelSizes& sizes);
// Returns the memory of the adapters that the engine holds or is loading.
// Thread-safe.
double AdapterMegabytes(const EngineLedger& ledger, const ModelSizes& sizes);
// Returns the memory of the models, and the reserve for the adapter slots.
// Thread-safe.
double UsedMegabytes(const fleet::EndpointEntry& entry,
                     const EngineLedger& ledger,
                     const fleet::EngineSpec& spec,
                     const ModelSizes& sizes);

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_ENGINE_LEDGER_H_
