#include "placement/engine_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hickoryloft::placement {

namespace {

// Delay before an unanswered order is resent.
constexpr Duration kResendDelay = milliseconds(300);
// An accepted adapter is assumed loaded after this time, unless very many are
// in transfer. If it is not, the endpoint's error proves that it did not run
// the request.
constexpr Duration kAdapterLoadTime = milliseconds(15);
// Once an order's expected time has passed, the engine is asked at this
// interval whether it has finished: its report is more recent than the store's
// data and costs less than a call to the store.
constexpr Duration kReportInterval = milliseconds(100);
// Estimated time to unload an idle model.
constexpr Duration kUnloadTime = milliseconds(120);
// Share of an engine's slots that one model's requests should fill.
constexpr double kTargetFill = 0.6;

}  // namespace

EnginePlanner::EnginePlanner(ServiceId service,
                             std::unique_ptr<ResidencyPolicy> residency)
    : m_service(std::move(service)), m_residency(std::move(residency)) {}

void EnginePlanner::Reset() {
  m_ledgers.clear();
  m_recent_models.clear();
  m_use.clear();
  m_store_tokens = 0;
}

ModelDemand::Key EnginePlanner::KeyOf(const ModelId& model) const {
  return {m_service, model, AdapterId()};
}

bool EnginePlanner::Usable(const fleet::EndpointEntry& entry) const {
  return entry.m_service == m_service && entry.AcceptsModels();
}

PlannedActions EnginePlanner::Plan(const PlanningView& view,
                                   MonotonicTime now) {
  PlannedActions actions;
  m_deferred.clear();
  std::erase_if(m_recent_models, [&](const auto& known) {
    return now - known.second.second > kRegistrationLag;
  });
  ApplyRegistrations(view, now);
  if (m_configuration != view.m_configuration) {
    ApplyConfiguration(view);
  }
  for (auto& [id, ledger] : m_ledgers) {
    if (ledger.m_open) {
      AdvanceOpenOrder(view, view.m_entries.at(id), ledger, now, actions);
    }
  }
  std::vector<ModelDemand::PendingDemand> pending = view.m_demand.Waiting();
  std::erase_if(pending, [&](const ModelDemand::PendingDemand& demand) {
    const auto& [service, model, adapter] = demand.m_key;
    const auto listed = view.m_spec.m_models.find(model);
    return service != m_service || listed == view.m_spec.m_models.end() ||
           (!adapter.empty() && !listed->second.HasAdapter(adapter));
  });
  ClearUnneededTargets(view, pending);
  CountModels(view, pending);
  std::stable_sort(pending.begin(), pending.end(),
                   [](const auto& left, const auto& right) {
                     return left.m_waiting > right.m_waiting;
                   });
  if (!pending.empty()) {
    RefreshReports(view, now, actions);
  }
  for (const ModelDemand::PendingDemand& demand : pending) {
    PlaceModel(view, demand, now, actions);
    if (!demand.m_key.m_adapter.empty()) {
      PlaceAdapter(view, demand, now, actions);
    }
  }
  PlanPreloads(view, now, actions);
  return actions;
}

void EnginePlanner::RefreshReports(const PlanningView& view,
                                   MonotonicTime now,
                                   PlannedActions& actions) {
  for (auto& [id, ledger] : m_ledgers) {
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (ledger.m_open || ledger.m_report_requested ||
        now - ledger.m_reported_at < kRegistrationLag ||
        now < ledger.m_paused_until ||
        entry.m_evacuation == fleet::Evacuation::kEvacuated) {
      continue;
    }
    const bool unregistered = std::any_of(
        ledger.m_reported_models.begin(), ledger.m_reported_models.end(),
        [&](const ModelId& model) { return !entry.m_models.contains(model); });
    if (unregistered) {
      ledger.m_report_requested = true;
      actions.m_reports.push_back(id);
    }
  }
}

void EnginePlanner::CountModels(
    const PlanningView& view,
    const std::vector<ModelDemand::PendingDemand>& pending) {
  m_present.clear();
  m_waiting_models.clear();
  for (const auto& [id, ledger] : m_ledgers) {
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (Usable(entry) && !view.m_avoided(id)) {
      for (const auto& [model, adapters] : entry.m_models) {
        m_present[model] += ledger.Holds(entry, model) ? 1 : 0;
      }
    }
  }
  for (const ModelDemand::PendingDemand& demand : pending) {
    m_waiting_models.insert(demand.m_key.m_model);
  }
}

void EnginePlanner::ClearUnneededTargets(
    const PlanningView& view,
    const std::vector<ModelDemand::PendingDemand>& pending) {
  std::set<ModelId> requested;
  for (const ModelDemand::PendingDemand& demand : pending) {
    requested.insert(demand.m_key.m_model);
  }
  for (auto& [id, ledger] : m_ledgers) {
    const bool removed = !view.m_spec.m_models.contains(ledger.m_target);
    if (removed || (!ledger.m_open && !ledger.m_is_preload &&
                    !requested.contains(ledger.m_target))) {
      ledger.ClearTarget();
    }
  }
}

void EnginePlanner::ApplyRegistrations(const PlanningView& view,
                                       MonotonicTime now) {
  std::erase_if(m_ledgers, [&](const auto& known) {
    const auto entry = view.m_entries.find(known.first);
    return entry == view.m_entries.end() ||
           entry->second.m_service != m_service;
  });
  for (const auto& listed : view.m_entries) {
    const fleet::EndpointEntry& entry = listed.second;
    if (entry.m_service != m_service) {
      continue;
    }
    EngineLedger& ledger = m_ledgers[entry.m_id];
    if (ledger.m_started_at_ms != entry.m_started_at_ms) {
      ledger = {.m_started_at_ms = entry.m_started_at_ms};
    }
    // A model that was reported may be missing in an outdated registration.
    std::erase_if(ledger.m_adapters, [&](const auto& known) {
      return !entry.m_models.contains(known.first) &&
             !ledger.m_reported_models.contains(known.first);
    });
    std::erase_if(ledger.m_absent_models, [&](const ModelId& model) {
      return !entry.m_models.contains(model);
    });
    // After the first time, orders and reports are newer than the registration.
    if (std::exchange(ledger.m_adapters_imported, true)) {
      continue;
    }
    for (const auto& [model, adapters] : entry.m_models) {
      for (const AdapterId& adapter : adapters) {
        ledger.m_adapters[model].try_emplace(adapter, now);
      }
    }
  }
}

void EnginePlanner::AdvanceOpenOrder(const PlanningView& view,
                                     const fleet::EndpointEntry& entry,
                                     EngineLedger& ledger,
                                     MonotonicTime now,
                                     PlannedActions& actions) {
  OpenOrder& open = *ledger.m_open;
  // Nothing is sent to an evacuated engine, an order or a question included.
  const bool may_send = entry.m_evacuation != fleet::Evacuation::kEvacuated;
  if (open.m_phase == OrderPhase::kUnanswered &&
      open.m_operation == fleet::OrderOperation::kLoad &&
      !view.m_spec.m_models.contains(open.m_model)) {
    // The model has left the configuration: the engine's report tells whether
    // it was loaded, without another copy of the order.
    open.m_phase = OrderPhase::kRunning;
    open.m_since = now;
    open.m_ask_at = now;
    ledger.m_accepted_orders.reset();
  }
  if (open.m_phase == OrderPhase::kUnanswered) {
    if (may_send && now - open.m_since >= kResendDelay) {
      ResendOpenOrder(entry, ledger, now, actions);
    }
    return;
  }
  if (open.m_phase != OrderPhase::kRunning) {
    return;
  }
  if (!open.m_adapter.empty()) {
    if (now - open.m_since >= kAdapterLoadTime) {
      CloseOpenOrder(ledger, now);
      actions.m_order_completed = true;
    }
    return;
  }
  const bool present = entry.m_models.contains(open.m_model);
  if (present == (open.m_operation == fleet::OrderOperation::kLoad)) {
    if (ledger.m_target == open.m_model) {
      ledger.ClearTarget();
    }
    RecordStoreLoad(open, now);
    m_recent_models[{entry.m_id, open.m_model}] = {present, now};
    if (!present) {
      ledger.m_reported_models.erase(open.m_model);
    }
    actions.m_order_completed = true;
    if (!open.m_accepted) {
      ledger.m_accepted_orders.reset();
    }
    ledger.m_open.reset();
    return;
  }
  if (may_send && now >= open.m_ask_at && !ledger.m_report_requested) {
    ledger.m_report_requested = true;
    open.m_ask_at = now + kReportInterval;
    actions.m_reports.push_back(entry.m_id);
  }
}

Duration EnginePlanner::ExpectedTime(const fleet::EngineSpec& spec,
                                     const OpenOrder& order) {
  const auto model = spec.m_models.find(order.m_model);
  if (order.m_operation == fleet::OrderOperation::kUnload ||
      model == spec.m_models.end()) {
    return kUnloadTime;
  }
  return LoadTime(model->second, order.m_tier);
}

int EnginePlanner::RunningAt(const PlanningView& view,
                             const fleet::EndpointEntry& entry) {
  int running = 0;
  for (const auto& [held, adapters] : entry.m_models) {
    running += view.m_running(entry.m_id, held);
  }
  return running;
}

EnginePlanner::Replicas EnginePlanner::CountReplicas(
    const PlanningView& view,
    const ModelId& model) const {
  Replicas replicas;
  for (const auto& [id, ledger] : m_ledgers) {
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (!Usable(entry)) {
      continue;
    }
    const bool unloading =
        ledger.m_open && ledger.m_open->m_model == model &&
        ledger.m_open->m_operation == fleet::OrderOperation::kUnload;
    if (ledger.Holds(entry, model) && !unloading && !view.m_avoided(id)) {
      ++replicas.m_present;
      replicas.m_running += view.m_running(id, model);
      replicas.m_with_free_slots +=
          RunningAt(view, entry) < view.m_spec.m_slots ? 1 : 0;
    } else if ((ledger.m_target == model ||
                (!unloading && ledger.m_reported_models.contains(model))) &&
               !view.m_avoided(id)) {
      ++replicas.m_pending;
    }
  }
  return replicas;
}

int EnginePlanner::WantedReplicas(const PlanningView& view,
                                  const ModelDemand::PendingDemand& demand,
                                  const Replicas& replicas) const {
  // Requests for an adapter are not counted: they may wait only for the
  // adapter.
  const int waiting = view.m_demand.Waiting(KeyOf(demand.m_key.m_model));
  const double in_use = replicas.m_running + waiting;
  const int by_use =
      static_cast<int>(std::ceil(in_use / (kTargetFill * view.m_spec.m_slots)));
  const bool saturated =
      waiting > 0 && replicas.m_present > 0 && replicas.m_with_free_slots == 0;
  return std::max({1, by_use, saturated ? replicas.m_present + 1 : 0});
}

void EnginePlanner::PlaceModel(const PlanningView& view,
                               const ModelDemand::PendingDemand& demand,
                               MonotonicTime now,
                               PlannedActions& actions) {
  const ModelId& model = demand.m_key.m_model;
  const auto listed = view.m_spec.m_models.find(model);
  if (listed == view.m_spec.m_models.end()) {
    return;
  }
  const Replicas replicas = CountReplicas(view, model);
  // Continues at engines that already have the model as their target.
  for (auto& [id, ledger] : m_ledgers) {
    if (ledger.m_target != model || ledger.m_open) {
      continue;
    }
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    ledger.SetTarget(model);  // No longer only a preload.
    if (!Usable(entry) || !PlanTarget(view, entry, ledger, now)) {
      ledger.ClearTarget();
    }
  }
  if (replicas.m_present + replicas.m_pending <
      WantedReplicas(view, demand, replicas)) {
    UnplacedModel unplaced{.m_model = model, .m_waiting = demand.m_waiting};
    if (const auto choice =
            ChooseEngine(view, model, listed->second, now, unplaced)) {
      m_ledgers[choice->m_engine].SetTarget(model);
    } else {
      actions.m_unplaced.push_back(unplaced);
    }
  }
  const std::string reason =
      std::to_string(demand.m_waiting) + " requests waiting";
  for (auto& [id, ledger] : m_ledgers) {
    if (ledger.m_target == model && !ledger.m_open) {
      AdvanceTarget(view, view.m_entries.at(id), ledger, reason, now, actions);
    }
  }
}

std::optional<EnginePlanner::Choice> EnginePlanner::PlanTarget(
    const PlanningView& view,
    const fleet::EndpointEntry& entry,
    const EngineLedger& ledger,
    MonotonicTime now) const {
  if (!ledger.m_is_preload) {
    return CostAt(view, entry, ledger, ledger.m_target, now);
  }
  Choice choice{.m_engine = entry.m_id,
                .m_tier = entry.TierOf(ledger.m_target)};
  double lacking = m_sizes.MegabytesOf(ledger.m_target) +
                   UsedMegabytes(entry, ledger, view.m_spec, m_sizes) -
                   view.m_spec.m_megabytes;
  for (const ModelId& victim : ledger.m_victims) {
    if (lacking > 0 && ledger.Holds(entry, victim) &&
        view.m_running(entry.m_id, victim) == 0) {
      choice.m_victims.push_back(victim);
      lacking -= m_sizes.MegabytesOf(victim);
    }
  }
  return lacking <= 0 ? std::optional(std::move(choice)) : std::nullopt;
}

void EnginePlanner::AdvanceTarget(const PlanningView& view,
                                  const fleet::EndpointEntry& entry,
                                  EngineLedger& ledger,
                                  const std::string& reason,
                                  MonotonicTime now,
                                  PlannedActions& actions) {
  if (!ledger.m_accepted_orders) {
    if (!ledger.m_report_requested && now >= ledger.m_paused_until) {
      ledger.m_report_requested = true;
      actions.m_reports.push_back(entry.m_id);
    }
    return;
  }
  const ModelId model = ledger.m_target;
  const auto choice = PlanTarget(view, entry, ledger, now);
  if (!choice) {
    return;
  }
  if (!choice->m_victims.empty()) {
    IssueOrder(view, entry.m_id, ledger,
               {.m_operation = fleet::OrderOperation::kUnload,
                .m_model = choice->m_victims.front()},
               "evicted to load " + model.value(), now, actions);
  } else if (choice->m_tier != fleet::WeightTier::kStore ||
             AcquireStoreToken(view.m_spec, now)) {
    IssueOrder(view, entry.m_id, ledger,
               {.m_operation = fleet::OrderOperation::kLoad,
                .m_model = model,
                .m_tier = choice->m_tier},
               reason, now, actions);
  }
}

void EnginePlanner::IssueOrder(const PlanningView& view,
                               const EndpointId& engine,
                               EngineLedger& ledger,
                               OpenOrder order,
                               std::string reason,
                               MonotonicTime now,
                               PlannedActions& actions) {
  order.m_phase = OrderPhase::kSending;
  order.m_since = now;
  order.m_expected = ExpectedTime(view.m_spec, order);
  actions.m_orders.push_back(
      {.m_engine = engine,
       .m_order = {.m_operation = order.m_operation,
                   .m_model = order.m_model,
                   .m_adapter = order.m_adapter,
                   .m_expected_orders = *ledger.m_accepted_orders},
       .m_reason = std::move(reason)});
  if (order.m_adapter.empty() &&
      order.m_operation == fleet::OrderOperation::kLoad) {
    actions.m_orders.back().m_tier = fleet::ToText(order.m_tier);
  }
  for (const auto& [model, adapters] : view.m_entries.at(engine).m_models) {
    actions.m_orders.back().m_holds += model.value() + " ";
  }
  ledger.m_open = std::move(order);
}

}  // namespace hickoryloft::placement
