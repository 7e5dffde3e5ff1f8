// EnginePlanner: processing of engines' answers and reports, of unanswered
// orders and of new configurations, and accessors.

#include <algorithm>

#include "placement/engine_planner.h"

namespace hickoryloft::placement {

namespace {

// No orders are sent to an engine for this time after a failure or a refusal.
constexpr Duration kFailurePause = seconds(1);
constexpr Duration kRefusalPause = seconds(5);
// An engine that executes an order of an earlier leader is asked for another
// report after this time.
constexpr Duration kBusyPause = milliseconds(400);
// An engine's report may show its state of this long ago.
constexpr Duration kReportAge = milliseconds(300);

}  // namespace

void EnginePlanner::HandleOutcome(const EndpointId& engine,
                                  fleet::OrderOutcome outcome,
                                  MonotonicTime now) {
  const auto known = m_ledgers.find(engine);
  if (known == m_ledgers.end() || !known->second.m_open) {
    return;
  }
  EngineLedger& ledger = known->second;
  OpenOrder& open = *ledger.m_open;
  open.m_since = now;
  switch (outcome) {
    case fleet::OrderOutcome::kAccepted:
      open.m_phase = OrderPhase::kRunning;
      open.m_accepted = true;
      open.m_accepted_at = now;
      open.m_ask_at = now + open.m_expected;
      open.m_store_loads = StoreLoadsOpen();
      ledger.CountAcceptedOrder();
      break;
    case fleet::OrderOutcome::kAlreadyDone:
      ledger.ClearTarget();
      if (open.m_adapter.empty()) {
        RecordHeldModel(engine, ledger,
                        open.m_operation == fleet::OrderOperation::kLoad, now);
      } else if (open.m_operation == fleet::OrderOperation::kUnload) {
        // The engine unloads an unused adapter immediately and counts that as
        // an accepted order.
        ledger.CountAcceptedOrder();
      }
      CloseOpenOrder(ledger, now);
      break;
    case fleet::OrderOutcome::kConflict:
      // Either an unanswered copy was accepted, or the expected number of
      // accepted orders was wrong.
      open.m_phase = OrderPhase::kRunning;
      open.m_ask_at = now + kReportAge;
      ledger.m_accepted_orders.reset();
      break;
    case fleet::OrderOutcome::kRefused:
      ledger.m_open.reset();
      ledger.ClearTarget();
      ledger.m_accepted_orders.reset();
      ledger.m_paused_until = now + kRefusalPause;
      break;
    case fleet::OrderOutcome::kUnreachable:
      if (open.m_resent) {
        open.m_phase = OrderPhase::kUnanswered;
      } else {
        ledger.m_open.reset();
        ledger.ClearTarget();
      }
      ledger.m_paused_until = now + kFailurePause;
      break;
    case fleet::OrderOutcome::kUnknown:
      open.m_phase = OrderPhase::kUnanswered;
      break;
  }
}

void EnginePlanner::ResendOpenOrder(const fleet::EndpointEntry& entry,
                                    EngineLedger& ledger,
                                    MonotonicTime now,
                                    PlannedActions& actions) {
  OpenOrder& open = *ledger.m_open;
  open.m_phase = OrderPhase::kSending;
  open.m_since = now;
  open.m_resent = true;
  actions.m_orders.push_back(
      {.m_engine = entry.m_id,
       .m_order = {.m_operation = open.m_operation,
                   .m_model = open.m_model,
                   .m_adapter = open.m_adapter,
                   .m_expected_orders = *ledger.m_accepted_orders},
       .m_reason = "resent, the previous copy was not answered"});
}

void EnginePlanner::CloseOpenOrder(EngineLedger& ledger, MonotonicTime now) {
  const OpenOrder order = *ledger.m_open;
  ledger.m_open.reset();
  if (order.m_adapter.empty()) {
    return;
  }
  auto& held = ledger.m_adapters[order.m_model];
  if (order.m_operation == fleet::OrderOperation::kLoad) {
    held[order.m_adapter] = now;
  } else {
    held.erase(order.m_adapter);
  }
}

void EnginePlanner::RecordHeldModel(const EndpointId& engine,
                                    EngineLedger& ledger,
                                    bool held,
                                    MonotonicTime now) {
  const ModelId& model = ledger.m_open->m_model;
  if (held) {
    ledger.m_reported_models.insert(model);
    ledger.m_absent_models.erase(model);
  } else {
    ledger.m_reported_models.erase(model);
    ledger.m_absent_models.insert(model);
  }
  m_recent_models[{engine, model}] = {held, now};
}

void EnginePlanner::HandleReport(const EndpointId& engine,
                                 const Result<fleet::EngineReport>& report,
                                 MonotonicTime now) {
  const auto known = m_ledgers.find(engine);
  if (known == m_ledgers.end()) {
    return;
  }
  EngineLedger& ledger = known->second;
  ledger.m_report_requested = false;
  if (!report.ok()) {
    ledger.m_paused_until = now + kFailurePause;
    if (!ledger.m_open) {
      ledger.ClearTarget();
    }
    return;
  }
  const fleet::EngineReport& facts = report.value();
  if (facts.m_accepted_orders < ledger.m_least_accepted_orders) {
    // The report was made before the last order was accepted, and proves
    // nothing about it. An open order is asked about again; without one, the
    // next order needs another report.
    return;
  }
  ledger.ApplyReport(facts, now);
  if (!ledger.m_open && facts.m_busy) {
    // The engine is executing an order of an earlier leader; the report does
    // not list the model that this order loads.
    ledger.m_accepted_orders.reset();
    ledger.m_paused_until = now + kBusyPause;
    return;
  }
  if (!ledger.m_open || ledger.m_open->m_phase != OrderPhase::kRunning) {
    return;
  }
  if (!ledger.m_open->m_adapter.empty()) {
    ledger.m_open.reset();
  } else if (!facts.m_busy) {
    // The order has completed, or was never accepted.
    const OpenOrder order = *ledger.m_open;
    const bool held = facts.m_models.contains(order.m_model);
    if (held == (order.m_operation == fleet::OrderOperation::kLoad)) {
      RecordHeldModel(engine, ledger, held, now);
      RecordStoreLoad(order, now);
    }
    ledger.m_open.reset();
    if (held || ledger.m_target == order.m_model) {
      ledger.ClearTarget();
    }
  }
}

void EnginePlanner::ApplyConfiguration(const PlanningView& view) {
  m_configuration = view.m_configuration;
  m_sizes.Update(view.m_spec, [&](const ModelId& model) {
    return IsHeld(model) ||
           std::any_of(view.m_entries.begin(), view.m_entries.end(),
                       [&](const auto& listed) {
                         return listed.second.m_models.contains(model);
                       });
  });
}

bool EnginePlanner::IsHeld(const ModelId& model) const {
  return std::any_of(
      m_ledgers.begin(), m_ledgers.end(), [&](const auto& entry) {
        const EngineLedger& ledger = entry.second;
        return ledger.m_reported_models.contains(model) ||
               (ledger.m_open && ledger.m_open->m_model == model);
      });
}

std::map<EndpointId, std::map<ModelId, std::set<AdapterId>>>
EnginePlanner::Adapters() const {
  std::map<EndpointId, std::map<ModelId, std::set<AdapterId>>> present;
  for (const auto& [id, ledger] : m_ledgers) {
    for (const auto& [model, adapters] : ledger.m_adapters) {
      for (const auto& [adapter, since] : adapters) {
        present[id][model].insert(adapter);
      }
    }
  }
  return present;
}

std::vector<std::pair<EndpointId, ModelId>> EnginePlanner::UnloadingModels()
    const {
  std::vector<std::pair<EndpointId, ModelId>> unloading;
  for (const auto& [id, ledger] : m_ledgers) {
    if (ledger.m_open && ledger.m_open->m_adapter.empty() &&
        ledger.m_open->m_operation == fleet::OrderOperation::kUnload) {
      unloading.emplace_back(id, ledger.m_open->m_model);
    }
  }
  return unloading;
}

std::map<std::pair<EndpointId, ModelId>, bool> EnginePlanner::RecentModels(
    MonotonicTime since) const {
  std::map<std::pair<EndpointId, ModelId>, bool> recent;
  for (const auto& [key, change] : m_recent_models) {
    if (change.second >= since) {
      recent[key] = change.first;
    }
  }
  return recent;
}

bool EnginePlanner::HasRunningAdapterOrder() const {
  return std::any_of(m_ledgers.begin(), m_ledgers.end(), [](const auto& entry) {
    const auto& open = entry.second.m_open;
    return open && !open->m_adapter.empty() &&
           open->m_phase == OrderPhase::kRunning;
  });
}

}  // namespace hickoryloft::placement
