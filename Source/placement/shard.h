// Decides for one placement shard which models and adapters are loaded on which
// engines. Intent is written ahead: the model record lists a replica first, the
// engine's ledger reserves its memory second, and the load order is sent third.
// A release goes in reverse; the reservation is removed only after the engine
// has proved that the replica is absent.

#ifndef SOURCE_PLACEMENT_SHARD_H_
#define SOURCE_PLACEMENT_SHARD_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "endpoint/orders.h"
#include "placement/cas_register.h"
#include "placement/effects.h"
#include "placement/endpoint_chooser.h"
#include "placement/endpoint_ledger.h"
#include "placement/endpoint_policy.h"
#include "placement/load_order_policy.h"
#include "placement/model_record.h"
#include "placement/replica_table.h"
#include "placement/retention_policy.h"
#include "placement/store_record.h"
#include "placement/store_slots.h"
#include "placement/types.h"

namespace hickoryloft::placement {

struct ShardSettings {
  std::string m_scope;  // Name of the shard's claim.
  // The longest time after sending at which an order can still take effect.
  Duration m_order_effect_limit = seconds(5);
  // The maximum age of the state in an inventory report.
  Duration m_report_lag = milliseconds(2500);
  Duration m_poll_interval = milliseconds(50);
  Duration m_retry_interval = milliseconds(200);
  // Interval of re-reading a record while the shard waits for another shard to
  // free a store slot or memory in it.
  Duration m_refresh_interval = milliseconds(100);
  // The longest wait for memory that is being freed.
  Duration m_memory_wait_limit = seconds(1);
  // Interval of checking idle replicas and minimum replica counts.
  Duration m_review_interval = milliseconds(500);
};

// The load limits in one service's document.
struct LoadBudget {
  StoreLimits m_store;                          // Shared by all shards.
  std::uint32_t m_adapter_loads_in_flight = 1;  // For this shard alone.
};

struct Policies {
  std::unique_ptr<EndpointPolicy> m_endpoint;
  std::unique_ptr<RetentionPolicy> m_retention;
  std::unique_ptr<LoadOrderPolicy> m_load_order;
};

// The state machine of one shard, from the time its claim is acquired until the
// claim is lost. Every event handler returns the effects to carry out, in
// order. The caller must check that it still holds the claim right before it
// carries out each of them. Not thread-safe.
class Shard {
 public:
  Shard(ShardSettings settings, Policies policies, FencingNumber fence);
  Shard(const Shard&) = delete;
  Shard& operator=(const Shard&) = delete;

  // Sets the models and load limits that the documents allow.
  Effects SetCatalog(Catalog catalog,
                     std::map<ServiceId, LoadBudget> budgets,
                     MonotonicTime now);
  // Updates the state of an engine. Fetches the inventory if the engine has a
  // ready replica, because the change may mean that replicas are gone.
  Effects OnEndpoint(const EndpointView& view, MonotonicTime now);
  // Drops the replicas of an engine that has left the host list and has been
  // unreachable since.
  Effects OnEndpointRemoved(const EndpointId& endpoint, MonotonicTime now);

  // Starts recovery. Call once, after SetCatalog() and after OnEndpoint() for
  // every known endpoint.
  Effects Start();
  // Restores the state from the records of all models, ledgers and stores.
  Effects OnRecovered(const std::vector<RecordReply>& records,
                      MonotonicTime now);

  // Finds or places a replica for callers that have none. Exactly one
  // AnswerDemand follows for each demand.
  Effects OnDemand(const Demand& demand, MonotonicTime now);
  // Handles another shard's request to unload `replica`. `worth` is the worth
  // (RetentionPolicy::Worth()) of the load that needs the memory.
  Effects OnReleaseRequested(const ReplicaKey& replica,
                             double worth,
                             MonotonicTime now);
  // Returns whether the replica is being unloaded, or would be on
  // OnReleaseRequested() with this worth.
  bool GrantsRelease(const ReplicaKey& replica,
                     double worth,
                     MonotonicTime now) const;
  // Handles another shard's reply to RequestReplicaRelease.
  Effects OnReleaseReply(const ReplicaKey& replica,
                         bool released,
                         MonotonicTime now);

  Effects OnRecord(const RecordReply& reply, MonotonicTime now);
  Effects OnRecordFailed(const RecordName& record, MonotonicTime now);
  Effects OnOrderReply(const EndpointId& endpoint,
                       std::uint64_t order_number,
                       const Result<endpoint::OrderReply>& reply,
                       MonotonicTime now);
  Effects OnFenceRaised(const EndpointId& endpoint,
                        bool raised,
                        MonotonicTime now);
  // `requested_at` is the time at which the report was requested.
  Effects OnInventory(const EndpointId& endpoint,
                      const endpoint::InventoryReport& report,
                      MonotonicTime requested_at,
                      MonotonicTime now);
  // Call about every 50 ms.
  Effects OnTick(MonotonicTime now);

  const ReplicaTable& replicas() const { return m_replicas; }
  bool recovered() const { return m_recovered; }
  // Returns whether any replica is not ready, that is, whether record writes or
  // orders are outstanding.
  bool HasOpenWork() const;

 private:
  // The key of a new replica, or the reason why none was placed.
  struct PlacementResult {
    std::optional<ReplicaKey> m_key;
    RefusalReason m_reason = RefusalReason::kNone;
    Duration m_retry_after{};
  };

  // Demands (shard.cc).
  void Decide(Demand demand, MonotonicTime now);
  bool AnswerFromReadyReplica(const Demand& demand, const Artifact& artifact);
  bool JoinStartingReplica(const Demand& demand,
                           const Artifact& artifact,
                           MonotonicTime now);
  void PlaceModel(const Demand& demand,
                  const CatalogModel& model,
                  MonotonicTime now);
  void PlaceAdapter(const Demand& demand,
                    const CatalogModel& model,
                    MonotonicTime now);
  PlacementResult AddModel(const CatalogModel& model,
                           std::uint64_t extra_bytes,
                           Duration patience,
                           MonotonicTime now);
  void AddAdapter(const CatalogModel& model,
                  const ReplicaKey& key,
                  MonotonicTime now);
  std::optional<EndpointId> EndpointWithBase(const CatalogModel& model) const;
  void WaitForReplica(const Demand& demand,
                      const ReplicaKey& key,
                      MonotonicTime now);
  void Refuse(const Demand& demand, RefusalReason reason, Duration retry_after);
  void AnswerLoading(const Demand& demand,
                     const ReplicaKey& key,
                     MonotonicTime now);
  void AnswerWaitingDemands(const ReplicaKey& key,
                            Replica& replica,
                            MonotonicTime now);
  void RefuseWaitingDemands(Replica& replica, RefusalReason reason);
  Duration TimeUntilReady(const ReplicaKey& key,
                          const Replica& replica,
                          MonotonicTime now) const;
  Duration EstimateStoreWait(const ServiceId& service) const;
  std::uint32_t CountActiveReplicas(const ModelId& model) const;

  // Eviction and idle replicas (shard_eviction.cc).
  double WorthOf(const ReplicaKey& key,
                 const Replica& replica,
                 MonotonicTime now) const;
  std::vector<std::pair<double, ReplicaKey>>
  Evictable(const EndpointId& endpoint, double worth, MonotonicTime now) const;
  std::uint64_t EvictableBytes(const EndpointId& endpoint,
                               double worth,
                               MonotonicTime now) const;
  void FreeMemory(const EndpointId& endpoint,
                  std::uint64_t bytes,
                  double worth,
                  MonotonicTime now);
  bool IsReleaseDeclined(const ReplicaKey& foreign, MonotonicTime now) const;
  std::uint64_t ReleasableForeignBytes(const EndpointId& endpoint,
                                       MonotonicTime now) const;
  bool WillHaveMemory(const ReplicaKey& key,
                      const Replica& replica,
                      MonotonicTime now) const;
  void RequestForeignReleases(const EndpointId& endpoint,
                              std::uint64_t bytes,
                              double worth,
                              MonotonicTime now);
  void BeginRelease(const ReplicaKey& key);
  void ContinueDrains();
  void ReviewReplicas(MonotonicTime now);
  void ReviewModels(MonotonicTime now);
  bool ShouldRelease(const ReplicaKey& key,
                     const Replica& replica,
                     MonotonicTime now) const;

  // Reconciliation of the stored records (shard_records.cc).
  void ProcessPending(MonotonicTime now);
  void Reconcile(const RecordName& record, MonotonicTime now);
  void ReconcileModel(const ModelId& model);
  void ObserveModel(const ModelId& model, const ModelRecord& record);
  ModelRecord PlanModel(const ModelId& model) const;
  void ReconcileLedger(const EndpointId& endpoint, MonotonicTime now);
  void ObserveLedger(const EndpointId& endpoint,
                     const EndpointLedger& ledger,
                     MonotonicTime now);
  void ObserveReservation(const ReplicaKey& key,
                          const Reservation& reservation,
                          MonotonicTime now);
  EndpointLedger PlanLedger(const EndpointId& endpoint,
                            EndpointLedger ledger,
                            MonotonicTime now);
  void PlanReplica(const ReplicaKey& key,
                   Replica& replica,
                   EndpointLedger& ledger,
                   MonotonicTime now);
  void Reserve(const ReplicaKey& key,
               Replica& replica,
               EndpointLedger& ledger,
               MonotonicTime now);
  void ReconcileStore(const ServiceId& service, MonotonicTime now);
  std::vector<ReplicaKey> OrderSlotRequests(const StoreSlots& slots,
                                            MonotonicTime now) const;
  void Adopt(const ReplicaKey& key,
             const Reservation& reservation,
             MonotonicTime now);
  void Erase(const ReplicaKey& key);
  void Abandon(const ReplicaKey& key, Replica& replica);
  // Abandons the adapters that wait for the load of `base`, which has failed.
  void AbandonAdapters(const ReplicaKey& base);
  void MarkDirty(RecordKind kind, const std::string& name);
  void MarkRecordsDirty(const ReplicaKey& key);
  void ApplyRecord(const RecordReply& reply, MonotonicTime now);
  void RereadUnsyncedRecords(MonotonicTime now);
  void RefreshContendedRecords(MonotonicTime now);

  // Orders and inventory reports (shard_orders.cc).
  void DispatchLoads(MonotonicTime now);
  void DispatchAdapters(MonotonicTime now);
  void SendLoad(const ReplicaKey& key, Replica& replica, MonotonicTime now);
  void SendUnload(const ReplicaKey& key, Replica& replica, MonotonicTime now);
  void ApplyOrderReply(const ReplicaKey& key,
                       Replica& replica,
                       const Result<endpoint::OrderReply>& reply,
                       MonotonicTime now);
  void ObserveItem(const ReplicaKey& key,
                   Replica& replica,
                   const endpoint::InventoryItem& item,
                   MonotonicTime now);
  void ObserveAbsence(const ReplicaKey& key,
                      Replica& replica,
                      MonotonicTime requested_at);
  void MarkReady(const ReplicaKey& key, Replica& replica, MonotonicTime now);
  void MarkAbsent(const ReplicaKey& key, Replica& replica);
  void ExpireFenceWaits(MonotonicTime now);
  void PollUncertainReplicas(MonotonicTime now);
  void ReleaseSlot(const ReplicaKey& key);

  const CatalogModel* FindModel(const ModelId& model) const;
  bool IsAllowed(const Artifact& artifact) const;
  LoadBudget BudgetOf(const ServiceId& service) const;
  StoreSlots& SlotsOf(const ServiceId& service);
  const EndpointLedger* LedgerOf(const EndpointId& endpoint) const;
  Effects CollectEffects(MonotonicTime now);

  ShardSettings m_settings;
  Policies m_policies;
  FencingNumber m_fence;
  bool m_recovered = false;
  Catalog m_catalog;
  std::map<ServiceId, LoadBudget> m_budgets;

  ReplicaTable m_replicas;
  EndpointChooser m_chooser;
  std::map<ServiceId, StoreSlots> m_slots;

  std::map<ModelId, CasRegister<ModelRecord>> m_models;
  std::map<EndpointId, CasRegister<EndpointLedger>> m_ledgers;
  std::map<ServiceId, CasRegister<StoreRecord>> m_stores;
  std::set<RecordName> m_dirty_records;  // Reconciled in ProcessPending().

  std::deque<Demand> m_undecided;  // Decided in ProcessPending().
  std::map<EndpointId, MonotonicTime> m_next_poll;
  // Replicas of other shards whose release was declined or not answered, with
  // the time until which it is not requested again.
  std::map<ReplicaKey, MonotonicTime> m_declined_releases;
  MonotonicTime m_next_review{};
  MonotonicTime m_next_refresh{};
  Effects m_effects;
};

// Returns the service part of a qualified model name. Thread-safe.
ServiceId ServiceOf(const ModelId& model);

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_SHARD_H_
