// Sends load and unload orders to the engines while this host holds the
// placement lease.

#ifndef SOURCE_HOST_PLACEMENT_CONTROLLER_H_
#define SOURCE_HOST_PLACEMENT_CONTROLLER_H_

#include <functional>
#include <map>
#include <memory>

#include "base/event_loop.h"
#include "fleet/fleet_state_feed.h"
#include "fleet/protocols.h"
#include "host/host_metrics.h"
#include "membership/placement_lease.h"
#include "placement/engine_planner.h"
#include "placement/placement_state.h"
#include "placement/plan_pacer.h"

namespace hickoryloft::host {

// Runs one planner for each service that has engines. The references must
// outlive the object. Use on the loop's thread only.
class PlacementController {
 public:
  struct Inputs {
    const fleet::FleetStateFeed& m_knowledge;
    const placement::ModelDemand& m_demand;
    const membership::PlacementLease& m_lease;
    std::function<int(const EndpointId&, const ModelId&)> m_running;
    std::function<bool(const EndpointId&)> m_avoided;
    HostId m_host;
    HostMetrics& m_metrics;
  };

  // Calls `changed` after orders were planned and when the planners' view of
  // models or adapters at the engines has changed.
  PlacementController(EventLoop& loop,
                      fleet::EngineControl& engines,
                      Inputs inputs,
                      std::function<void()> changed);

  // Plans and sends orders now, if this host holds a valid placement lease.
  void Plan();
  // Plans after a short delay; calls within the delay lead to one plan.
  void PlanSoon();

  // Returns what the planners have changed at the engines, for the other hosts.
  placement::PlacementState CollectState() const;

 private:
  // Discards the state of all planners, which read it again from the engines.
  void ResetPlanners();
  // Plans one service. A plan that fails costs the planners' state, not the
  // host with the requests of its callers.
  void PlanGuarded(const fleet::ServiceSpec& service,
                   std::int64_t configuration);
  void PlanService(const fleet::ServiceSpec& service,
                   std::int64_t configuration);
  void SendPlannedOrder(const ServiceId& service,
                        const placement::PlannedOrder& planned);
  // Schedules another plan for when the adapters that are loading are present.
  void ScheduleAdapterPlan();
  void LogUnplaced(const std::vector<placement::UnplacedModel>& models);
  void RequestReport(const ServiceId& service, const EndpointId& engine);
  std::optional<endpoint::EndpointAddress> AddressOf(
      const EndpointId& engine) const;

  EventLoop& m_loop;
  fleet::EngineControl& m_engines;
  Inputs m_inputs;
  std::function<void()> m_on_changed;
  FencingNumber m_planned_fence = 0;
  // Number of times that the planners have discarded their state. Answers to
  // what was sent before are disregarded.
  std::uint64_t m_generation = 0;
  std::map<ServiceId, std::unique_ptr<placement::EnginePlanner>> m_planners;
  // When a model without an engine was last logged.
  std::map<ModelId, MonotonicTime> m_unplaced_logged_at;
  placement::PlanPacer m_pacer;
  std::unique_ptr<Timer> m_tick;
  std::unique_ptr<Timer> m_plan_timer;
  std::unique_ptr<Timer> m_adapter_timer;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_PLACEMENT_CONTROLLER_H_
