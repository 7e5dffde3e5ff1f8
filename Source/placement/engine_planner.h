// Decides which models and adapters are loaded at the engines of one service.

#ifndef SOURCE_PLACEMENT_ENGINE_PLANNER_H_
#define SOURCE_PLACEMENT_ENGINE_PLANNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "fleet/endpoint_entry.h"
#include "placement/engine_ledger.h"
#include "placement/model_demand.h"
#include "placement/residency.h"
#include "placement/store_concurrency.h"

namespace hickoryloft::placement {

// An order that the planner's owner should send to an engine.
struct PlannedOrder {
  EndpointId m_engine;
  fleet::EngineOrder m_order;  // Without sender and fencing number.
  std::string m_reason;        // For the log.
  std::string m_holds;         // Models of the engine, for the log.
  // Where a model is loaded from, for the log; empty for other orders.
  std::string m_tier;
};
// A model that has waiting requests and that no engine can load now.
struct UnplacedModel {
  ModelId m_model;
  int m_waiting = 0;
  int m_engines = 0;     // Usable engines without the model.
  int m_occupied = 0;    // Of these, engines with an order or a target.
  int m_paused = 0;      // Engines paused after a failure, or avoided.
  int m_all_in_use = 0;  // Engines without idle models to evict.
};

struct PlannedActions {
  std::vector<PlannedOrder> m_orders;
  std::vector<EndpointId> m_reports;  // Engines to ask for a report.
  std::vector<UnplacedModel> m_unplaced;
  bool m_order_completed = false;  // An order has completed.
};

// The input of a plan.
struct PlanningView {
  const std::map<EndpointId, fleet::EndpointEntry>& m_entries;
  const fleet::EngineSpec& m_spec;
  std::int64_t m_configuration = 0;  // Version that m_spec belongs to.
  const ModelDemand& m_demand;
  // Returns the requests for a model that run at an engine, over all hosts.
  std::function<int(const EndpointId&, const ModelId&)> m_running;
  std::function<bool(const EndpointId&)> m_avoided;
};

// Returns how long a model takes to load from `tier`. Thread-safe.
Duration LoadTime(const fleet::ModelSpec& model, fleet::WeightTier tier);

// Plans loads and unloads. Models with waiting requests come first; each goes
// to the engine that can load it soonest, counting the models to evict there
// and the engine's load. A model in use is never evicted. An engine has at most
// one open order; its memory stays reserved until the engine's own count of
// accepted orders proves its outcome. Engines, targets and open orders outlive
// configurations: a model that has left the configuration is never loaded, and
// is evicted first where an engine still holds it. Not thread-safe; times
// passed in must not decrease.
class EnginePlanner {
 public:
  // `residency` decides which models are preloaded, that is loaded before any
  // request waits for them.
  EnginePlanner(ServiceId service, std::unique_ptr<ResidencyPolicy> residency);

  // Returns the orders and report requests to send now. Call after each change
  // and every kTick.
  PlannedActions Plan(const PlanningView& view, MonotonicTime now);
  static constexpr Duration kTick = milliseconds(100);
  // Interval between two evaluations of the residency policy: about the time of
  // a load from disk.
  static constexpr Duration kResidencyInterval = milliseconds(400);

  // Records an engine's answer to a planned order.
  void HandleOutcome(const EndpointId& engine,
                     fleet::OrderOutcome outcome,
                     MonotonicTime now);
  // Records an engine's report, or that it could not be obtained.
  void HandleReport(const EndpointId& engine,
                    const Result<fleet::EngineReport>& report,
                    MonotonicTime now);

  // Discards all state that another placement leader may have changed.
  void Reset();

  // Returns the loaded adapters by engine and model.
  std::map<EndpointId, std::map<ModelId, std::set<AdapterId>>> Adapters() const;
  // Returns the models that are being unloaded, with their engines.
  std::vector<std::pair<EndpointId, ModelId>> UnloadingModels() const;
  // Returns the models loaded (true) or unloaded (false) since `since`.
  std::map<std::pair<EndpointId, ModelId>, bool> RecentModels(
      MonotonicTime since) const;
  // Returns whether an accepted adapter order has not completed yet.
  bool HasRunningAdapterOrder() const;

 private:
  struct Replicas {
    int m_present = 0;
    int m_pending = 0;
    int m_running = 0;
    int m_with_free_slots = 0;  // Engines with a free slot.
  };
  struct Choice {
    EndpointId m_engine;
    std::vector<ModelId> m_victims;
    fleet::WeightTier m_tier = fleet::WeightTier::kStore;
    double m_cost = 0;
  };

  bool Usable(const fleet::EndpointEntry& entry) const;
  // Requests another report from engines that reported models which their
  // registrations still lack: an order of an earlier leader may have unloaded
  // them since.
  void RefreshReports(const PlanningView& view,
                      MonotonicTime now,
                      PlannedActions& actions);
  // Computes the counts that the choice of evicted models uses; called once per
  // plan.
  void CountModels(const PlanningView& view,
                   const std::vector<ModelDemand::PendingDemand>& pending);
  // Applies the residency policy's proposals to engines without a target.
  void PlanPreloads(const PlanningView& view,
                    MonotonicTime now,
                    PlannedActions& actions);
  // Returns what the engine of `entry` holds and may evict.
  IdleEngine DescribeIdleEngine(const PlanningView& view,
                                const fleet::EndpointEntry& entry,
                                const EngineLedger& ledger,
                                MonotonicTime now) const;
  ResidencyView BuildResidencyView(const PlanningView& view, MonotonicTime now);
  // Adds the models that the engine of `ledger` holds or has cached.
  void AddModelStatus(const PlanningView& view,
                      const fleet::EndpointEntry& entry,
                      const EngineLedger& ledger,
                      std::unordered_map<ModelId, ModelStatus>& models) const;
  // Returns the estimated execution time of an order.
  static Duration ExpectedTime(const fleet::EngineSpec& spec,
                               const OpenOrder& order);
  // Issues the next order needed to load an engine's target.
  void AdvanceTarget(const PlanningView& view,
                     const fleet::EndpointEntry& entry,
                     EngineLedger& ledger,
                     const std::string& reason,
                     MonotonicTime now,
                     PlannedActions& actions);
  // Returns how the target can be loaded now, or nothing if it cannot.
  std::optional<Choice> PlanTarget(const PlanningView& view,
                                   const fleet::EndpointEntry& entry,
                                   const EngineLedger& ledger,
                                   MonotonicTime now) const;
  // Records the duration of the completed load `open`.
  void RecordStoreLoad(const OpenOrder& open, MonotonicTime now);
  // Takes over the models of a new configuration.
  void ApplyConfiguration(const PlanningView& view);
  bool IsHeld(const ModelId& model) const;
  // Clears the targets that have left the configuration, and those for which no
  // requests wait any more, except preloads.
  void ClearUnneededTargets(
      const PlanningView& view,
      const std::vector<ModelDemand::PendingDemand>& pending);
  static int RunningAt(const PlanningView& view,
                       const fleet::EndpointEntry& entry);
  void ApplyRegistrations(const PlanningView& view, MonotonicTime now);
  void AdvanceOpenOrder(const PlanningView& view,
                        const fleet::EndpointEntry& entry,
                        EngineLedger& ledger,
                        MonotonicTime now,
                        PlannedActions& actions);
  // Sends an unanswered order again, with the same number.
  static void ResendOpenOrder(const fleet::EndpointEntry& entry,
                              EngineLedger& ledger,
                              MonotonicTime now,
                              PlannedActions& actions);
  // Records that the engine reported the open order's model as held or not
  // held; the registration may be outdated.
  void RecordHeldModel(const EndpointId& engine,
                       EngineLedger& ledger,
                       bool held,
                       MonotonicTime now);
  // Closes the open order; records the adapter it loaded or unloaded.
  static void CloseOpenOrder(EngineLedger& ledger, MonotonicTime now);
  Replicas CountReplicas(const PlanningView& view, const ModelId& model) const;
  int WantedReplicas(const PlanningView& view,
                     const ModelDemand::PendingDemand& demand,
                     const Replicas& replicas) const;
  void PlaceModel(const PlanningView& view,
                  const ModelDemand::PendingDemand& demand,
                  MonotonicTime now,
                  PlannedActions& actions);
  // Returns whether an adapter of `model` fits beside the models of the engine
  // if all other adapters are evicted.
  bool FitsWithoutOthers(const PlanningView& view,
                         const fleet::EndpointEntry& entry,
                         const EngineLedger& ledger,
                         const ModelId& model) const;
  // Returns what to evict for an adapter of `model` that lacks a slot or
  // `lacking` megabytes: an adapter, or a model if adapters are not enough.
  std::optional<std::pair<ModelId, AdapterId>> ChooseForAdapter(
      const PlanningView& view,
      const fleet::EndpointEntry& entry,
      const EngineLedger& ledger,
      const ModelId& model,
      double lacking,
      MonotonicTime now) const;
  // Returns the engine that should load `adapter`, or nothing if an engine can
  // serve it already, is loading it, or if all engines are busy.
  std::optional<EndpointId> ChooseAdapterEngine(const PlanningView& view,
                                                const ModelId& model,
                                                const AdapterId& adapter,
                                                MonotonicTime now) const;
  void PlaceAdapter(const PlanningView& view,
                    const ModelDemand::PendingDemand& demand,
                    MonotonicTime now,
                    PlannedActions& actions);
  std::optional<Choice> ChooseEngine(const PlanningView& view,
                                     const ModelId& model,
                                     const fleet::ModelSpec& spec,
                                     MonotonicTime now,
                                     UnplacedModel& unplaced);
  std::optional<Choice> CostAt(const PlanningView& view,
                               const fleet::EndpointEntry& entry,
                               const EngineLedger& ledger,
                               const ModelId& model,
                               MonotonicTime now) const;
  // Chooses idle models of `entry` to evict so that `needed` megabytes are
  // freed. Adds their request rates to `lost_rate`.
  std::optional<std::vector<ModelId>> ChooseVictims(
      const PlanningView& view,
      const fleet::EndpointEntry& entry,
      const EngineLedger& ledger,
      double needed,
      MonotonicTime now,
      double& lost_rate) const;
  // Returns the number of open loads from the weight store.
  int StoreLoadsOpen() const;
  void RefillStoreTokens(const fleet::EngineSpec& spec, MonotonicTime now);
  bool AcquireStoreToken(const fleet::EngineSpec& spec, MonotonicTime now);
  void IssueOrder(const PlanningView& view,
                  const EndpointId& engine,
                  EngineLedger& ledger,
                  OpenOrder order,
                  std::string reason,
                  MonotonicTime now,
                  PlannedActions& actions);
  ModelDemand::Key KeyOf(const ModelId& model) const;

  ServiceId m_service;
  std::optional<std::int64_t> m_configuration;  // Version of m_sizes.
  ModelSizes m_sizes;
  std::map<EndpointId, EngineLedger> m_ledgers;
  std::map<std::pair<EndpointId, ModelId>, std::pair<bool, MonotonicTime>>
      m_recent_models;
  // Of the current plan: the number of engines that hold each model, and the
  // models with waiting requests.
  std::map<ModelId, int> m_present;
  std::set<ModelId> m_waiting_models;
  // Of the current plan: the number of models that wait for a busy engine which
  // has them cached.
  std::map<EndpointId, int> m_deferred;
  std::unique_ptr<ResidencyPolicy> m_residency;
  MonotonicTime m_residency_evaluated_at;
  // Recent maximum of the requests in progress for each model.
  std::unordered_map<ModelId, double> m_use;
  StoreConcurrency m_store;
  double m_store_tokens = 0;
  MonotonicTime m_store_tokens_at;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_ENGINE_PLANNER_H_
