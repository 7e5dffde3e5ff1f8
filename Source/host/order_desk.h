// Gives the engines their orders while this host holds the right to.

#ifndef SOURCE_HOST_ORDER_DESK_H_
#define SOURCE_HOST_ORDER_DESK_H_

#include <functional>
#include <map>
#include <memory>

#include "base/event_loop.h"
#include "fleet/knowledge_feed.h"
#include "fleet/protocols.h"
#include "host/host_metrics.h"
#include "membership/holder_lease.h"
#include "placement/engine_planner.h"
#include "placement/plan_pacer.h"

namespace hickoryloft::host {

// One planner for each service that has engines. Use on the loop's thread
// only. The references must outlive it.
class OrderDesk {
 public:
  struct Inputs {
    const fleet::KnowledgeFeed& m_knowledge;
    const placement::ModelDemand& m_demand;
    const membership::HolderLease& m_lease;
    std::function<int(const EndpointId&, const ModelId&)> m_running;
    std::function<bool(const EndpointId&)> m_avoided;
    HostId m_host;
    HostMetrics& m_metrics;
  };

  // Calls `changed` when adapters or leaving models have changed.
  OrderDesk(EventLoop& loop,
            fleet::EngineControl& engines,
            Inputs inputs,
            std::function<void()> changed);

  // Plans now, if this host may give orders.
  void Plan();
  // Plans shortly; what comes until then makes one plan.
  void PlanSoon();

  const std::map<ServiceId, std::unique_ptr<placement::EnginePlanner>>&
  planners() const {
    return m_planners;
  }

 private:
  void PlanService(const fleet::ServiceSpec& service);
  void GiveOrder(const ServiceId& service,
                 const placement::PlannedOrder& planned);
  // Plans again when adapters that are being loaded are there.
  void PlanForAdapters();
  void LogUnplaced(const std::vector<placement::UnplacedModel>& models);
  void AskReport(const ServiceId& service, const EndpointId& engine);
  std::optional<endpoint::EndpointAddress> AddressOf(
      const EndpointId& engine) const;

  EventLoop& m_loop;
  fleet::EngineControl& m_engines;
  Inputs m_inputs;
  std::function<void()> m_changed;
  FencingNumber m_planned_fence = 0;
  std::map<ServiceId, std::unique_ptr<placement::EnginePlanner>> m_planners;
  // When it was last logged that a model has no engine.
  std::map<ModelId, MonotonicTime> m_unplaced_told;
  placement::PlanPacer m_pacer;
  std::unique_ptr<Timer> m_tick;
  std::unique_ptr<Timer> m_plan_soon;
  std::unique_ptr<Timer> m_soon;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_ORDER_DESK_H_
