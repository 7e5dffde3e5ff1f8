// EnginePlanner: placement of adapters.

#include <algorithm>
#include <utility>

#include "placement/engine_planner.h"

namespace hickoryloft::placement {

std::optional<EndpointId> EnginePlanner::ChooseAdapterEngine(
    const PlanningView& view,
    const ModelId& model,
    const AdapterId& adapter,
    MonotonicTime now) const {
  std::optional<EndpointId> best;
  bool best_fits = false;
  for (const auto& [id, ledger] : m_ledgers) {
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (!Usable(entry) || view.m_avoided(id) || !ledger.Holds(entry, model)) {
      continue;
    }
    const auto held = ledger.m_adapters.find(model);
    const bool present =
        held != ledger.m_adapters.end() && held->second.contains(adapter);
    const bool coming = ledger.m_open && ledger.m_open->m_model == model &&
                        ledger.m_open->m_adapter == adapter;
    if (coming ||
        (present && view.m_running(id, model) < view.m_spec.m_slots)) {
      return std::nullopt;
    }
    // An engine that has the adapter but no free slot cannot be used either.
    if (present || ledger.Occupied() || now < ledger.m_paused_until) {
      continue;
    }
    const bool fits = FitsWithoutOthers(view, entry, ledger, model);
    if (!best || fits > best_fits ||
        (fits == best_fits &&
         view.m_running(id, model) < view.m_running(*best, model))) {
      best = id;
      best_fits = fits;
    }
  }
  return best;
}

void EnginePlanner::PlaceAdapter(const PlanningView& view,
                                 const ModelDemand::PendingDemand& demand,
                                 MonotonicTime now,
                                 PlannedActions& actions) {
  const ModelId& model = demand.m_key.m_model;
  const AdapterId& adapter = demand.m_key.m_adapter;
  const auto engine = ChooseAdapterEngine(view, model, adapter, now);
  if (!engine) {
    return;
  }
  EngineLedger& ledger = m_ledgers[*engine];
  if (!ledger.m_accepted_orders) {
    if (!std::exchange(ledger.m_report_requested, true)) {
      actions.m_reports.push_back(*engine);
    }
    return;
  }
  const fleet::EndpointEntry& entry = view.m_entries.at(*engine);
  const double free = view.m_spec.m_megabytes -
                      ModelMegabytes(entry, ledger, m_sizes) -
                      AdapterMegabytes(ledger, m_sizes);
  const double lacking = m_sizes.AdapterMegabytesOf(model) - free;
  if (lacking <= 0 && ledger.AdapterCount() < view.m_spec.m_adapter_slots) {
    IssueOrder(view, *engine, ledger,
               {.m_operation = fleet::OrderOperation::kLoad,
                .m_model = model,
                .m_adapter = adapter},
               std::to_string(demand.m_waiting) + " requests waiting", now,
               actions);
    return;
  }
  const auto victim =
      ChooseForAdapter(view, entry, ledger, model, lacking, now);
  if (victim) {
    IssueOrder(view, *engine, ledger,
               {.m_operation = fleet::OrderOperation::kUnload,
                .m_model = victim->first,
                .m_adapter = victim->second},
               "evicted to load adapter " + adapter.value(), now, actions);
  }
}

bool EnginePlanner::FitsWithoutOthers(const PlanningView& view,
                                      const fleet::EndpointEntry& entry,
                                      const EngineLedger& ledger,
                                      const ModelId& model) const {
  return ModelMegabytes(entry, ledger, m_sizes) +
             m_sizes.AdapterMegabytesOf(model) <=
         view.m_spec.m_megabytes;
}

std::optional<std::pair<ModelId, AdapterId>> EnginePlanner::ChooseForAdapter(
    const PlanningView& view,
    const fleet::EndpointEntry& entry,
    const EngineLedger& ledger,
    const ModelId& model,
    double lacking,
    MonotonicTime now) const {
  if (FitsWithoutOthers(view, entry, ledger, model)) {
    return ledger.OldestAdapter(now);
  }
  double lost_rate = 0;
  const auto victims =
      ChooseVictims(view, entry, ledger, lacking, now, lost_rate);
  if (!victims || victims->empty() ||
      std::find(victims->begin(), victims->end(), model) != victims->end()) {
    return std::nullopt;
  }
  return std::pair(victims->front(), AdapterId());
}

}  // namespace hickoryloft::placement
