#include "host/placement_controller.h"

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

#include "base/log.h"
#include "placement/replica_map.h"

namespace hickoryloft::host {

namespace {

// The planner counts an adapter as present slightly earlier than this after
// its order.
constexpr Duration kAdapterLoadTime = milliseconds(17);
// Interval at which a model that has no engine is logged again. Plans are made
// many times a second, so logging each would flood the log.
constexpr Duration kUnplacedLogInterval = seconds(1);

const Logger kLog("orders");

const char* ToText(fleet::OrderOperation operation) {
  return operation == fleet::OrderOperation::kLoad ? "load" : "unload";
}

const char* ToText(fleet::OrderOutcome outcome) {
  static constexpr std::array<const char*, 6> kNames = {
      "accepted", "already_holds", "conflict",
      "refused",  "unreachable",   "unknown"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace

PlacementController::PlacementController(EventLoop& loop,
                                         fleet::EngineControl& engines,
                                         Inputs inputs,
                                         std::function<void()> changed)
    : m_loop(loop),
      m_engines(engines),
      m_inputs(std::move(inputs)),
      m_on_changed(std::move(changed)) {
  m_tick = loop.Every(placement::EnginePlanner::kTick, [this] { PlanSoon(); });
}

void PlacementController::PlanSoon() {
  if (!m_plan_timer && m_inputs.m_lease.held()) {
    const Duration delay =
        m_pacer.DelayFor(placement::PlanPacer::kMinPause, m_loop.Now());
    m_plan_timer = m_loop.After(delay, [this] {
      m_plan_timer.reset();
      Plan();
    });
  }
}

void PlacementController::Plan() {
  if (!m_inputs.m_lease.valid() || !m_inputs.m_knowledge.complete()) {
    return;
  }
  if (m_planned_fence != m_inputs.m_lease.fence()) {
    m_planned_fence = m_inputs.m_lease.fence();
    ResetPlanners();
  }
  const MonotonicTime started = m_loop.Now();
  const auto configuration = m_inputs.m_knowledge.configuration();
  for (const auto& [id, service] : configuration->configuration().m_services) {
    if (service.m_engine) {
      PlanGuarded(service, configuration->version());
    }
  }
  m_pacer.RecordPlan(started, m_loop.Now());
}

void PlacementController::ResetPlanners() {
  ++m_generation;
  for (const auto& [service, planner] : m_planners) {
    planner->Reset();
  }
}

void PlacementController::PlanGuarded(const fleet::ServiceSpec& service,
                                      std::int64_t configuration) {
  try {
    PlanService(service, configuration);
  } catch (const std::exception& error) {
    kLog.Error(
        "planning failed; reading the state of the engines again for the next "
        "plan",
        {{"service", service.m_id.value()},
         {"version", configuration},
         {"reason", error.what()}});
    m_inputs.m_metrics.CountFailedPlan();
    ResetPlanners();
  }
}

void PlacementController::PlanService(const fleet::ServiceSpec& service,
                                      std::int64_t configuration) {
  auto& planner = m_planners[service.m_id];
  if (!planner) {
    planner = std::make_unique<placement::EnginePlanner>(
        service.m_id, std::make_unique<placement::FullResidency>());
  }
  const placement::PlanningView view{
      .m_entries = m_inputs.m_knowledge.directory().entries(),
      .m_spec = *service.m_engine,
      .m_configuration = configuration,
      .m_demand = m_inputs.m_demand,
      .m_running = m_inputs.m_running,
      .m_avoided = m_inputs.m_avoided};
  const placement::PlannedActions actions = planner->Plan(view, m_loop.Now());
  for (const EndpointId& engine : actions.m_reports) {
    RequestReport(service.m_id, engine);
  }
  for (const placement::PlannedOrder& order : actions.m_orders) {
    SendPlannedOrder(service.m_id, order);
  }
  LogUnplaced(actions.m_unplaced);
  if (!actions.m_orders.empty() || actions.m_order_completed) {
    m_on_changed();
  }
}

void PlacementController::LogUnplaced(
    const std::vector<placement::UnplacedModel>& models) {
  const MonotonicTime now = m_loop.Now();
  std::erase_if(m_unplaced_logged_at, [&](const auto& logged) {
    return now - logged.second >= kUnplacedLogInterval;
  });
  for (const placement::UnplacedModel& unplaced : models) {
    if (!m_unplaced_logged_at.emplace(unplaced.m_model, now).second) {
      continue;
    }
    kLog.Info(
        "no engine can load the model; it stays unplaced until the next plan",
        {{"model", unplaced.m_model.value()},
         {"waiting", unplaced.m_waiting},
         {"engines", unplaced.m_engines},
         {"occupied", unplaced.m_occupied},
         {"paused", unplaced.m_paused},
         {"all_models_in_use", unplaced.m_all_in_use}});
  }
}

std::optional<endpoint::EndpointAddress> PlacementController::AddressOf(
    const EndpointId& engine) const {
  const fleet::EndpointEntry* entry =
      m_inputs.m_knowledge.directory().Find(engine);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return endpoint::EndpointAddress{engine, entry->m_address, entry->m_port};
}

void PlacementController::SendPlannedOrder(
    const ServiceId& service,
    const placement::PlannedOrder& planned) {
  const auto address = AddressOf(planned.m_engine);
  if (!address) {
    m_planners[service]->HandleOutcome(
        planned.m_engine, fleet::OrderOutcome::kUnreachable, m_loop.Now());
    return;
  }
  fleet::EngineOrder order = planned.m_order;
  order.m_leader = m_inputs.m_host;
  order.m_fence = m_inputs.m_lease.fence();
  kLog.Info("order given", {{"engine", planned.m_engine.value()},
                            {"operation", ToText(order.m_operation)},
                            {"model", order.m_model.value()},
                            {"adapter", order.m_adapter.value()},
                            {"tier", planned.m_tier},
                            {"expected_orders", order.m_expected_orders},
                            {"fence", order.m_fence},
                            {"holds", planned.m_holds},
                            {"reason", planned.m_reason}});
  m_engines.SendOrder(
      *address, order,
      [this, service, engine = planned.m_engine, order, tier = planned.m_tier,
       sent = m_loop.Now(),
       generation = m_generation](fleet::OrderOutcome outcome) {
        kLog.Info("order answered",
                  {{"engine", engine.value()},
                   {"operation", ToText(order.m_operation)},
                   {"model", order.m_model.value()},
                   {"adapter", order.m_adapter.value()},
                   {"outcome", ToText(outcome)},
                   {"after_ms", ToMillis(m_loop.Now() - sent).count()}});
        m_inputs.m_metrics.CountOrder(ToText(order.m_operation), tier,
                                      ToText(outcome));
        if (generation != m_generation) {
          return;
        }
        m_planners[service]->HandleOutcome(engine, outcome, m_loop.Now());
        ScheduleAdapterPlan();
      });
}

void PlacementController::ScheduleAdapterPlan() {
  const bool loading = std::any_of(
      m_planners.begin(), m_planners.end(),
      [](const auto& entry) { return entry.second->HasRunningAdapterOrder(); });
  // An adapter is present shortly after its order, but the engine does not
  // report when.
  if (loading && !m_adapter_timer) {
    m_adapter_timer = m_loop.After(kAdapterLoadTime, [this] {
      m_adapter_timer.reset();
      PlanSoon();
      ScheduleAdapterPlan();
    });
  }
}

placement::PlacementState PlacementController::CollectState() const {
  placement::PlacementState state;
  for (const auto& [service, planner] : m_planners) {
    for (const auto& [engine, models] : planner->Adapters()) {
      for (const auto& [model, names] : models) {
        for (const AdapterId& adapter : names) {
          state.m_adapters.emplace(engine, model, adapter);
        }
      }
    }
    for (const auto& [engine, model] : planner->UnloadingModels()) {
      state.m_unloading.emplace(engine, model);
    }
    for (const auto& [key, present] : planner->RecentModels(
             m_loop.Now() - placement::ReplicaMap::kUpdateLifetime)) {
      state.m_models[key] = present;
    }
  }
  return state;
}

void PlacementController::RequestReport(const ServiceId& service,
                                        const EndpointId& engine) {
  const auto address = AddressOf(engine);
  if (!address) {
    return;
  }
  m_engines.ReadReport(
      *address, [this, service, engine, generation = m_generation](
                    const Result<fleet::EngineReport>& report) {
        if (!report.ok()) {
          kLog.Warn(
              "cannot read the report of an engine",
              {{"engine", engine.value()}, {"reason", report.error().what()}});
        }
        if (generation != m_generation) {
          return;
        }
        m_planners[service]->HandleReport(engine, report, m_loop.Now());
        // The report may show orders as completed, which the other hosts need
        // to receive without delay.
        m_on_changed();
        PlanSoon();
      });
}

}  // namespace hickoryloft::host
