// EnginePlanner: preloading of models for which no request waits yet.

#include <algorithm>

#include "placement/engine_planner.h"

namespace hickoryloft::placement {

namespace {

// Factor by which a model's recorded use decays every kResidencyInterval. Peaks
// of the last few seconds count, since requests come in bursts.
constexpr double kUseDecay = 0.93;
// Share of the weight store's loads reserved for models with waiting requests.
constexpr double kReservedForWaiting = 0.34;

}  // namespace

void EnginePlanner::AddModelStatus(
    const PlanningView& view,
    const fleet::EndpointEntry& entry,
    const EngineLedger& ledger,
    std::unordered_map<ModelId, ModelStatus>& models) const {
  const bool unloading =
      ledger.m_open && ledger.m_open->m_adapter.empty() &&
      ledger.m_open->m_operation == fleet::OrderOperation::kUnload;
  const auto count = [&](const ModelId& model, auto&& change) {
    const auto status = models.find(model);
    if (status != models.end()) {
      change(status->second);
    }
  };
  for (const auto& [model, adapters] : entry.m_models) {
    const bool stays = ledger.Holds(entry, model) &&
                       !(unloading && ledger.m_open->m_model == model);
    const int running = view.m_running(entry.m_id, model);
    count(model, [&](ModelStatus& status) {
      status.m_present += stays ? 1 : 0;
      status.m_use += running;
    });
  }
  for (const ModelId& model : ledger.m_reported_models) {
    if (!entry.m_models.contains(model)) {
      count(model, [](ModelStatus& status) { ++status.m_pending; });
    }
  }
  if (!ledger.m_target.empty() &&
      !ledger.m_reported_models.contains(ledger.m_target)) {
    count(ledger.m_target, [](ModelStatus& status) { ++status.m_pending; });
  }
  const auto cached = [](ModelStatus& status) { status.m_cached = true; };
  for (const ModelId& model : entry.m_on_disk) {
    count(model, cached);
  }
  for (const ModelId& model : entry.m_in_memory) {
    count(model, cached);
  }
}

IdleEngine EnginePlanner::DescribeIdleEngine(const PlanningView& view,
                                             const fleet::EndpointEntry& entry,
                                             const EngineLedger& ledger,
                                             MonotonicTime now) const {
  IdleEngine idle{
      .m_entry = &entry,
      .m_free_megabytes = view.m_spec.m_megabytes -
                          UsedMegabytes(entry, ledger, view.m_spec, m_sizes)};
  for (const auto& [model, adapters] : entry.m_models) {
    if (!ledger.Holds(entry, model)) {
      continue;
    }
    if (view.m_running(entry.m_id, model) == 0 &&
        !m_waiting_models.contains(model)) {
      idle.m_idle_models.push_back(
          {.m_model = model,
           .m_megabytes = m_sizes.MegabytesOf(model),
           .m_configured = view.m_spec.m_models.contains(model)});
    }
    const auto spec = view.m_spec.m_models.find(model);
    if (spec != view.m_spec.m_models.end() && spec->second.m_adapters > 0) {
      idle.m_adapter_rate += view.m_demand.Rate(KeyOf(model), now);
    }
  }
  std::stable_partition(
      idle.m_idle_models.begin(), idle.m_idle_models.end(),
      [](const IdleModel& model) { return !model.m_configured; });
  return idle;
}

ResidencyView EnginePlanner::BuildResidencyView(const PlanningView& view,
                                                MonotonicTime now) {
  ResidencyView residency{.m_spec = view.m_spec};
  for (const auto& [model, spec] : view.m_spec.m_models) {
    residency.m_models[model].m_rate = view.m_demand.Rate(KeyOf(model), now);
  }
  for (const auto& [id, ledger] : m_ledgers) {
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (Usable(entry) && !view.m_avoided(id)) {
      AddModelStatus(view, entry, ledger, residency.m_models);
    }
  }
  const bool traffic =
      std::any_of(residency.m_models.begin(), residency.m_models.end(),
                  [](const auto& entry) { return entry.second.m_rate > 0; });
  for (auto& [model, status] : residency.m_models) {
    // Until requests arrive, the use of a model is estimated from its number of
    // replicas.
    double& use =
        m_use
            .try_emplace(model, status.m_present * view.m_spec.m_slots *
                                    FullResidency::kShrinkFill)
            .first->second;
    use = std::max(status.m_use, traffic ? use * kUseDecay : use);
    status.m_use = use;
  }
  for (const auto& [id, ledger] : m_ledgers) {
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (!Usable(entry) || view.m_avoided(id) || ledger.m_open ||
        !ledger.m_target.empty() || now < ledger.m_paused_until) {
      continue;
    }
    residency.m_idle.push_back(DescribeIdleEngine(view, entry, ledger, now));
  }
  RefillStoreTokens(view.m_spec, now);
  const int usable =
      static_cast<int>(m_store.limit() * (1 - kReservedForWaiting));
  residency.m_store_loads_left = std::min(
      std::max(1, usable) - StoreLoadsOpen(), static_cast<int>(m_store_tokens));
  return residency;
}

void EnginePlanner::PlanPreloads(const PlanningView& view,
                                 MonotonicTime now,
                                 PlannedActions& actions) {
  if (now - m_residency_evaluated_at >= kResidencyInterval) {
    m_residency_evaluated_at = now;
    for (PreloadProposal& proposal :
         m_residency->Propose(BuildResidencyView(view, now))) {
      EngineLedger& ledger = m_ledgers[proposal.m_engine];
      ledger.SetTarget(proposal.m_model);
      ledger.m_is_preload = true;
      ledger.m_victims = std::move(proposal.m_victims);
    }
  }
  for (auto& [id, ledger] : m_ledgers) {
    if (!ledger.m_is_preload || ledger.m_open) {
      continue;
    }
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (!Usable(entry) || view.m_avoided(id) ||
        entry.m_models.contains(ledger.m_target) ||
        !PlanTarget(view, entry, ledger, now)) {
      ledger.ClearTarget();
      continue;
    }
    AdvanceTarget(view, entry, ledger, "preloaded", now, actions);
  }
}

void EnginePlanner::RecordStoreLoad(const OpenOrder& open, MonotonicTime now) {
  if (open.m_operation != fleet::OrderOperation::kLoad ||
      open.m_tier != fleet::WeightTier::kStore || open.m_resent ||
      open.m_expected <= Duration{}) {
    return;
  }
  m_store.RecordLoad(now - open.m_accepted_at, open.m_expected,
                     std::max(open.m_store_loads, StoreLoadsOpen()));
}

}  // namespace hickoryloft::placement
