// Decides which models and adapters the engines of one service hold.

#ifndef SOURCE_PLACEMENT_ENGINE_PLANNER_H_
#define SOURCE_PLACEMENT_ENGINE_PLANNER_H_

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

// What a planner asks its owner to do.
struct PlannedOrder {
  EndpointId m_engine;
  fleet::EngineOrder m_order;  // Without holder and fence.
  std::string m_reason;        // For the log.
  std::string m_holds;         // Models of the engine, for the log.
  // Where a model is loaded from, for the log; empty for other orders.
  std::string m_tier;
};
// A model that callers wait for and that no engine can take now.
struct UnplacedModel {
  ModelId m_model;
  int m_waiting = 0;
  int m_engines = 0;     // Usable ones without the model.
  int m_occupied = 0;    // Of these, those with an order or a target.
  int m_paused = 0;      // After a failure, or avoided.
  int m_all_in_use = 0;  // No idle model could make way.
};

struct PlannedActions {
  std::vector<PlannedOrder> m_orders;
  std::vector<EndpointId> m_reports;  // Engines to be asked for their report.
  std::vector<UnplacedModel> m_unplaced;
  bool m_settled = false;  // An order has had its effect.
};

// The view that a plan is made from.
struct PlanningView {
  const std::map<EndpointId, fleet::EndpointEntry>& m_entries;
  const fleet::EngineSpec& m_spec;
  const ModelDemand& m_demand;
  // Requests that run at an engine for a model, over all hosts.
  std::function<int(const EndpointId&, const ModelId&)> m_running;
  std::function<bool(const EndpointId&)> m_avoided;
};

// Returns how long `model` takes to load from `tier`. Precondition: `spec`
// knows the model. Thread-safe.
Duration LoadTime(const fleet::EngineSpec& spec,
                  const ModelId& model,
                  fleet::WeightTier tier);

// A model that callers wait for goes first, to the engine that can have it
// soonest, counting the model that must make way and the engine's load; a model
// in use is never moved away. One order is open at an engine at a time; it
// keeps its memory reserved until the engine's own count of orders proves what
// became of it. Not thread-safe; the times given must not decrease.
class EnginePlanner {
 public:
  // `residency` decides what is loaded before callers wait for it.
  EnginePlanner(ServiceId service, std::unique_ptr<ResidencyPolicy> residency);

  // Returns what to do now. Call after each change, and every kTick.
  PlannedActions Plan(const PlanningView& view, MonotonicTime now);
  static constexpr Duration kTick = milliseconds(100);
  // Between two looks at what should be loaded before callers wait for it:
  // about the time of a load from disk.
  static constexpr Duration kResidencyPause = milliseconds(400);

  // What became of a planned order.
  void TakeOutcome(const EndpointId& engine,
                   fleet::OrderOutcome outcome,
                   MonotonicTime now);
  // What became of a planned report.
  void TakeReport(const EndpointId& engine,
                  const Result<fleet::EngineReport>& report,
                  MonotonicTime now);

  // Forgets what another giver of orders may have changed since.
  void Restart();

  // Adapters known to be present, by engine and model.
  std::map<EndpointId, std::map<ModelId, std::set<AdapterId>>> Adapters() const;
  // Models that are being unloaded, by engine.
  std::vector<std::pair<EndpointId, ModelId>> Leaving() const;
  // Models loaded (true) or unloaded (false) since `since`.
  std::map<std::pair<EndpointId, ModelId>, bool> RecentModels(
      MonotonicTime since) const;
  // Whether an accepted order for an adapter has yet to have its effect.
  bool LoadsAdapter() const;

 private:
  struct Replicas {
    int m_present = 0;
    int m_coming = 0;
    int m_running = 0;
    int m_with_room = 0;  // Engines that could take another request.
  };
  struct Choice {
    EndpointId m_engine;
    std::vector<ModelId> m_victims;
    fleet::WeightTier m_tier = fleet::WeightTier::kStore;
    double m_cost = 0;
  };

  bool Usable(const fleet::EndpointEntry& entry) const;
  // Asks engines again that reported models which their registrations still
  // lack: an order of an earlier giver may have removed them since.
  void CheckReports(const PlanningView& view,
                    MonotonicTime now,
                    PlannedActions& actions);
  // Counts what choosing a model to make way depends on, once a plan.
  void CountModels(const PlanningView& view,
                   const std::vector<ModelDemand::Want>& wants);
  // Lets the residency policy choose targets for engines that have none.
  void Anticipate(const PlanningView& view,
                  MonotonicTime now,
                  PlannedActions& actions);
  ResidencyView ViewResidency(const PlanningView& view, MonotonicTime now);
  // Adds what the engine of `ledger` holds, and what lies near it.
  void CountStandings(const PlanningView& view,
                      const fleet::EndpointEntry& entry,
                      const EngineLedger& ledger,
                      std::unordered_map<ModelId, ModelStanding>& models) const;
  // Returns how long the order of a model takes an engine, about.
  static Duration ExpectedTime(const fleet::EngineSpec& spec,
                               const OpenOrder& order);
  // Takes the next step towards an engine's target.
  void AdvanceTarget(const PlanningView& view,
                     const fleet::EndpointEntry& entry,
                     EngineLedger& ledger,
                     const std::string& reason,
                     MonotonicTime now,
                     PlannedActions& actions);
  // Returns how the target can be loaded now; nothing if it cannot.
  std::optional<Choice> PlanTarget(const PlanningView& view,
                                   const fleet::EndpointEntry& entry,
                                   const EngineLedger& ledger,
                                   MonotonicTime now) const;
  // The load of `open` has shown its effect.
  void LearnStoreSpeed(const OpenOrder& open, MonotonicTime now);
  // Gives up making room for models that nobody waits for any more.
  void DropUnwantedTargets(const std::vector<ModelDemand::Want>& wants);
  static int RunningAt(const PlanningView& view,
                       const fleet::EndpointEntry& entry);
  void FollowEntries(const PlanningView& view, MonotonicTime now);
  void FollowOpenOrder(const fleet::EndpointEntry& entry,
                       EngineLedger& ledger,
                       MonotonicTime now,
                       PlannedActions& actions);
  // The engine has answered that it holds the open order's model, or that it
  // does not; the registration may be late.
  void TakeHeld(const EndpointId& engine,
                EngineLedger& ledger,
                bool held,
                MonotonicTime now);
  // Ends the open order, which has had its effect.
  static void SettleAdapter(EngineLedger& ledger, MonotonicTime now);
  Replicas CountReplicas(const PlanningView& view, const ModelId& model) const;
  int WantedReplicas(const PlanningView& view,
                     const ModelDemand::Want& want,
                     const Replicas& replicas) const;
  void PlaceModel(const PlanningView& view,
                  const ModelDemand::Want& want,
                  MonotonicTime now,
                  PlannedActions& actions);
  // Returns the engine that should load `adapter`; nothing if an engine can
  // serve it or is about to, or if all are busy.
  std::optional<EndpointId> ChooseAdapterEngine(const PlanningView& view,
                                                const ModelId& model,
                                                const AdapterId& adapter,
                                                MonotonicTime now) const;
  void PlaceAdapter(const PlanningView& view,
                    const ModelDemand::Want& want,
                    MonotonicTime now,
                    PlannedActions& actions);
  std::optional<Choice> ChooseEngine(const PlanningView& view,
                                     const ModelId& model,
                                     MonotonicTime now,
                                     UnplacedModel& why_not);
  std::optional<Choice> CostAt(const PlanningView& view,
                               const fleet::EndpointEntry& entry,
                               const EngineLedger& ledger,
                               const ModelId& model,
                               MonotonicTime now) const;
  // Chooses idle models of `entry` to make `needed` megabytes of room.
  std::optional<std::vector<ModelId>> ChooseVictims(
      const PlanningView& view,
      const fleet::EndpointEntry& entry,
      const EngineLedger& ledger,
      double needed,
      MonotonicTime now,
      double& lost_rate) const;
  // Loads from the weight store that have not come to an end.
  int StoreLoadsOpen() const;
  void RefillStoreTokens(const fleet::EngineSpec& spec, MonotonicTime now);
  bool TakeStoreLoad(const fleet::EngineSpec& spec, MonotonicTime now);
  void Give(const PlanningView& view,
            const EndpointId& engine,
            EngineLedger& ledger,
            OpenOrder order,
            std::string reason,
            MonotonicTime now,
            PlannedActions& actions);
  ModelDemand::Key KeyOf(const ModelId& model) const;

  ServiceId m_service;
  std::map<EndpointId, EngineLedger> m_ledgers;
  std::map<std::pair<EndpointId, ModelId>, std::pair<bool, MonotonicTime>>
      m_recent_models;
  // Of the current plan: engines that hold a model, and models that are wanted.
  std::map<ModelId, int> m_present;
  std::set<ModelId> m_waiting_models;
  // Models of the current plan that wait for a busy engine's near copy.
  std::map<EndpointId, int> m_deferred;
  std::unique_ptr<ResidencyPolicy> m_residency;
  MonotonicTime m_residency_at;
  // Requests in progress for each model, the most of late.
  std::unordered_map<ModelId, double> m_use;
  StoreConcurrency m_store;
  double m_store_tokens = 0;
  MonotonicTime m_store_tokens_at;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_ENGINE_PLANNER_H_
