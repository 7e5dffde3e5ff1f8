// The decisions of one placement shard: which models and adapters are loaded
// where. Write-ahead intent: the model record names a replica first, the
// engine's ledger reserves its memory second, the order is sent third; release
// goes in reverse, and only on the engine's own proof of absence.

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
#include "placement/keep_policy.h"
#include "placement/load_order_policy.h"
#include "placement/model_record.h"
#include "placement/replica_table.h"
#include "placement/store_record.h"
#include "placement/store_slots.h"
#include "placement/types.h"

namespace hickoryloft::placement {

struct ShardSettings {
  std::string m_scope;  // The claim's name.
  // The longest time in which a sent order can take effect.
  Duration m_order_effect_limit = seconds(5);
  // The most by which an inventory lags behind.
  Duration m_report_lag = milliseconds(2500);
  Duration m_poll_interval = milliseconds(50);
  Duration m_retry_interval = milliseconds(200);
  // How often a record is read again while another shard must free a part of
  // it.
  Duration m_refresh_interval = milliseconds(100);
  // The longest wait for memory that is being released.
  Duration m_room_limit = seconds(1);
  // How often idle replicas are reviewed.
  Duration m_review_interval = milliseconds(500);
};

// What one service's document allows.
struct LoadBudget {
  StoreLimits m_store;                          // Of all shards together.
  std::uint32_t m_adapter_loads_in_flight = 1;  // This shard's part.
};

struct Policies {
  std::unique_ptr<EndpointPolicy> m_endpoint;
  std::unique_ptr<KeepPolicy> m_keep;
  std::unique_ptr<LoadOrderPolicy> m_load_order;
};

// The state machine of one shard for as long as one holder has its claim. Every
// event returns the effects to carry out, in order; each must be checked
// against the claim right before it is carried out. Not thread-safe.
class Shard {
 public:
  Shard(ShardSettings settings, Policies policies, FencingNumber fence);
  Shard(const Shard&) = delete;
  Shard& operator=(const Shard&) = delete;

  // Sets what the documents allow, by model and by service.
  Effects SetCatalog(Catalog catalog,
                     std::map<ServiceId, LoadBudget> budgets,
                     MonotonicTime now);
  // Takes news of an engine. A change may be a hint that replicas vanished.
  Effects OnEndpoint(const EndpointView& view, MonotonicTime now);
  // The engine has left the host list and could not be reached since.
  Effects OnEndpointGone(const EndpointId& endpoint, MonotonicTime now);

  // Starts recovery. Call once, after SetCatalog() and the known endpoints.
  Effects Start();
  // Takes the records of all models, ledgers and stores.
  Effects OnRecovered(const std::vector<RecordReply>& records,
                      MonotonicTime now);

  // Decides for callers without a replica; AnswerDemand follows, once.
  Effects OnDemand(const Demand& demand, MonotonicTime now);
  // Another shard needs room that is worth `worth` to it.
  Effects OnReleaseAsked(const ReplicaKey& replica,
                         double worth,
                         MonotonicTime now);
  // Returns whether OnReleaseAsked() makes or made this room.
  bool Releases(const ReplicaKey& replica,
                double worth,
                MonotonicTime now) const;
  // Another shard has answered AskRelease.
  Effects OnReleaseAnswered(const ReplicaKey& replica,
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
  // `requested_at` is when the report was asked for.
  Effects OnInventory(const EndpointId& endpoint,
                      const endpoint::InventoryReport& report,
                      MonotonicTime requested_at,
                      MonotonicTime now);
  // Call about every 50 ms.
  Effects OnTick(MonotonicTime now);

  const ReplicaTable& replicas() const { return m_replicas; }
  bool recovered() const { return m_recovered; }
  // Returns whether writes or orders are in progress.
  bool HasOpenWork() const;

 private:
  // A new replica, or why there is none.
  struct Placing {
    std::optional<ReplicaKey> m_key;
    RefusalReason m_reason = RefusalReason::kNone;
    Duration m_retry_after{};
  };

  // Demands (shard.cc).
  void Decide(Demand demand, MonotonicTime now);
  bool AnswerReady(const Demand& demand, const Artifact& artifact);
  bool JoinComing(const Demand& demand,
                  const Artifact& artifact,
                  MonotonicTime now);
  void PlaceModel(const Demand& demand,
                  const CatalogModel& model,
                  MonotonicTime now);
  void PlaceAdapter(const Demand& demand,
                    const CatalogModel& model,
                    MonotonicTime now);
  Placing AddModel(const CatalogModel& model,
                   std::uint64_t extra_bytes,
                   Duration patience,
                   MonotonicTime now);
  void AddAdapter(const CatalogModel& model,
                  const ReplicaKey& key,
                  MonotonicTime now);
  std::optional<EndpointId> EndpointWithBase(const CatalogModel& model) const;
  void Await(const Demand& demand, const ReplicaKey& key, MonotonicTime now);
  void Refuse(const Demand& demand, RefusalReason reason, Duration retry_after);
  void AnswerLoading(const Demand& demand,
                     const ReplicaKey& key,
                     MonotonicTime now);
  void AnswerWaiting(const ReplicaKey& key,
                     Replica& replica,
                     MonotonicTime now);
  void RefuseWaiting(Replica& replica, RefusalReason reason);
  Duration ReadyIn(const ReplicaKey& key,
                   const Replica& replica,
                   MonotonicTime now) const;
  Duration StoreWait(const ServiceId& service) const;
  std::uint32_t CountedReplicas(const ModelId& model) const;

  // Room and idle replicas (shard_room.cc).
  double WorthOf(const ReplicaKey& key,
                 const Replica& replica,
                 MonotonicTime now) const;
  std::vector<std::pair<double, ReplicaKey>>
  Evictable(const EndpointId& endpoint, double worth, MonotonicTime now) const;
  std::uint64_t EvictableBytes(const EndpointId& endpoint,
                               double worth,
                               MonotonicTime now) const;
  void MakeRoom(const EndpointId& endpoint,
                std::uint64_t bytes,
                double worth,
                MonotonicTime now);
  bool IsKept(const ReplicaKey& foreign, MonotonicTime now) const;
  std::uint64_t ForeignBytes(const EndpointId& endpoint,
                             MonotonicTime now) const;
  bool HasRoomAhead(const ReplicaKey& key,
                    const Replica& replica,
                    MonotonicTime now) const;
  void AskForRoom(const EndpointId& endpoint,
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

  // Records (shard_records.cc).
  void Run(MonotonicTime now);
  void Settle(const RecordName& record, MonotonicTime now);
  void SettleModel(const ModelId& model);
  void ObserveModel(const ModelId& model, const ModelRecord& record);
  ModelRecord PlanModel(const ModelId& model) const;
  void SettleLedger(const EndpointId& endpoint, MonotonicTime now);
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
  void SettleStore(const ServiceId& service, MonotonicTime now);
  std::vector<ReplicaKey> WantedInOrder(const StoreSlots& slots,
                                        MonotonicTime now) const;
  void Adopt(const ReplicaKey& key,
             const Reservation& reservation,
             MonotonicTime now);
  void Erase(const ReplicaKey& key);
  void GiveUp(const ReplicaKey& key, Replica& replica);
  // Gives up the adapters that await a base model which will not come.
  void GiveUpAdapters(const ReplicaKey& base);
  void Touch(RecordKind kind, const std::string& name);
  void TouchFor(const ReplicaKey& key);
  void Take(const RecordReply& reply, MonotonicTime now);
  void RetryLost(MonotonicTime now);
  void RefreshAwaited(MonotonicTime now);

  // Orders and reports (shard_orders.cc).
  void DispatchLoads(MonotonicTime now);
  void DispatchAdapters(MonotonicTime now);
  void SendLoad(const ReplicaKey& key, Replica& replica, MonotonicTime now);
  void SendUnload(const ReplicaKey& key, Replica& replica, MonotonicTime now);
  void TakeOrderReply(const ReplicaKey& key,
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
  void BecomeReady(const ReplicaKey& key, Replica& replica, MonotonicTime now);
  void BecomeAbsent(const ReplicaKey& key, Replica& replica);
  void EndFenceWaits(MonotonicTime now);
  void PollUnsettled(MonotonicTime now);
  void EndSlot(const ReplicaKey& key);

  const CatalogModel* FindModel(const ModelId& model) const;
  bool IsAllowed(const Artifact& artifact) const;
  LoadBudget BudgetOf(const ServiceId& service) const;
  StoreSlots& SlotsOf(const ServiceId& service);
  const EndpointLedger* LedgerOf(const EndpointId& endpoint) const;
  Effects TakeEffects(MonotonicTime now);

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
  std::set<RecordName> m_touched;  // To be compared with what is wanted.

  std::deque<Demand> m_undecided;  // To decide in Run().
  std::map<EndpointId, MonotonicTime> m_next_poll;
  // Replicas of other shards that were not released when asked, and until when
  // they are not asked for again.
  std::map<ReplicaKey, MonotonicTime> m_kept_by_others;
  MonotonicTime m_next_review{};
  MonotonicTime m_next_refresh{};
  Effects m_effects;
};

// Returns the service of a qualified model name. Thread-safe.
ServiceId ServiceOf(const ModelId& model);

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_SHARD_H_
