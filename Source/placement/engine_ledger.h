// What the giver of orders knows of one engine beyond its registration.

#ifndef SOURCE_PLACEMENT_ENGINE_LEDGER_H_
#define SOURCE_PLACEMENT_ENGINE_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
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
  kUnanswered,  // May have been accepted; is sent again with the same number.
  kRunning,     // Accepted, its effect has not shown.
};

// The one order that an engine has been given and that has not come to an end.
struct OpenOrder {
  fleet::OrderOperation m_operation = fleet::OrderOperation::kLoad;
  ModelId m_model;
  AdapterId m_adapter;
  fleet::WeightTier m_tier = fleet::WeightTier::kStore;  // Of loads.
  OrderPhase m_phase = OrderPhase::kSending;
  MonotonicTime m_since;  // Of the phase.
  MonotonicTime m_accepted_at;
  Duration m_expected{};   // That it takes the engine, about.
  MonotonicTime m_ask_at;  // When the engine is asked whether it is done.
  int m_store_loads = 0;   // Loads from the weight store then, this included.
  bool m_resent = false;   // An earlier copy may have been accepted.
};

// Not thread-safe.
struct EngineLedger {
  std::int64_t m_started_at_ms = 0;  // Of the incarnation this is about.
  // Orders accepted so far; unknown until the engine has reported.
  std::optional<std::int64_t> m_accepted_orders;
  bool m_report_asked = false;
  // What the last report listed, less what was unloaded since: it may be ahead
  // of the registration for as long as the store takes to pass changes on.
  std::unordered_set<ModelId> m_reported_models;
  // Registered models that the engine has said it does not hold: the
  // registration is late.
  std::unordered_set<ModelId> m_absent_models;
  MonotonicTime m_reported_at;
  std::optional<OpenOrder> m_open;
  // The model that the next orders make room for.
  ModelId m_target;
  // Nobody waits for the target yet; a model that is waited for may take its
  // place.
  bool m_anticipated = false;
  // Models that make way for an anticipated target.
  std::vector<ModelId> m_victims;
  // No orders before this time, after a failure.
  MonotonicTime m_paused_until;
  // Adapters present, with the time since which they are.
  std::map<ModelId, std::map<AdapterId, MonotonicTime>> m_adapters;

  bool m_adopted = false;  // The registration's adapters have been taken over.

  // Whether the engine of `entry` holds `model`, as far as is known.
  bool Holds(const fleet::EndpointEntry& entry, const ModelId& model) const {
    return entry.m_models.contains(model) && !m_absent_models.contains(model);
  }

  void SetTarget(const ModelId& model) {
    m_target = model;
    m_anticipated = false;
    m_victims.clear();
  }
  void DropTarget() { SetTarget(ModelId()); }
  // Whether a model that is waited for cannot be placed here now.
  bool Occupied() const {
    return m_open || (!m_target.empty() && !m_anticipated);
  }

  int AdapterCount() const;
  // Returns the adapter that was loaded first; one that may still be on its way
  // cannot be unloaded.
  std::optional<std::pair<ModelId, AdapterId>> OldestAdapter(
      MonotonicTime now) const;
};

// A registration shows a change within this time, unless the store is slow.
constexpr Duration kRegistrationLag = seconds(3);

// Returns the memory that `entry`'s models need, those of the last report and
// the one that the open order may still add. Models that `spec` does not know
// count as the whole engine. Thread-safe.
double UsedMegabytes(const fleet::EndpointEntry& entry,
                     const EngineLedger& ledger,
                     const fleet::EngineSpec& spec);

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_ENGINE_LEDGER_H_
