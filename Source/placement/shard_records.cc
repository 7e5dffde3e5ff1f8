// Reconciles the records in the key-value service with the replicas of the
// shard. Each pass first advances the replicas whose intended change is already
// in the record, then writes the changes that are missing. Lost and late
// replies therefore need no separate handling.

#include <algorithm>

#include "placement/shard.h"

namespace hickoryloft::placement {
namespace {

// The number of further engines a demand tries after one turned out to lack
// memory.
constexpr std::uint32_t kMaxRetries = 4;
constexpr Duration kRetryAfterAbandoning = seconds(2);

}  // namespace

void Shard::MarkDirty(RecordKind kind, const std::string& name) {
  m_dirty_records.insert({.m_kind = kind, .m_name = name});
}

void Shard::MarkRecordsDirty(const ReplicaKey& key) {
  if (key.m_artifact.m_adapter.empty()) {
    MarkDirty(RecordKind::kModel, key.m_artifact.m_model.value());
  }
  MarkDirty(RecordKind::kLedger, key.m_endpoint.value());
}

void Shard::ProcessPending(MonotonicTime now) {
  if (!m_recovered) {
    return;
  }
  do {
    while (!m_dirty_records.empty()) {
      const RecordName record = *m_dirty_records.begin();
      m_dirty_records.erase(m_dirty_records.begin());
      Reconcile(record, now);
    }
    if (!m_undecided.empty()) {
      const Demand demand = m_undecided.front();
      m_undecided.pop_front();
      Decide(demand, now);
    }
    ContinueDrains();
    DispatchLoads(now);
    DispatchAdapters(now);
  } while (!m_dirty_records.empty() || !m_undecided.empty());
}

void Shard::Reconcile(const RecordName& record, MonotonicTime now) {
  switch (record.m_kind) {
    case RecordKind::kModel:
      ReconcileModel(ModelId(record.m_name));
      return;
    case RecordKind::kLedger:
      ReconcileLedger(EndpointId(record.m_name), now);
      return;
    case RecordKind::kStore:
      ReconcileStore(ServiceId(record.m_name), now);
      return;
  }
}

void Shard::ReconcileModel(const ModelId& model) {
  CasRegister<ModelRecord>& cas = m_models[model];
  if (cas.busy() || cas.needs_read()) {
    return;
  }
  ObserveModel(model, cas.value());
  ModelRecord planned = PlanModel(model);
  if (planned != cas.value()) {
    const RecordName name{.m_kind = RecordKind::kModel,
                          .m_name = model.value()};
    m_effects.emplace_back(cas.Write(name, std::move(planned)));
  }
}

void Shard::ObserveModel(const ModelId& model, const ModelRecord& record) {
  for (const ReplicaKey& key : m_replicas.KeysOfBaseModel(model)) {
    Replica& replica = *m_replicas.Find(key);
    const bool named =
        record.m_replicas.count({.m_endpoint = key.m_endpoint,
                                 .m_version = key.m_artifact.m_version}) > 0;
    if (replica.m_step == ReplicaStep::kAddingToRecord && named) {
      m_replicas.SetStep(key, replica, ReplicaStep::kReserving);
      MarkDirty(RecordKind::kLedger, key.m_endpoint.value());
    } else if (replica.m_step == ReplicaStep::kRemovingFromRecord && !named) {
      Erase(key);
    }
  }
}

ModelRecord Shard::PlanModel(const ModelId& model) const {
  ModelRecord record;
  for (const ReplicaKey& key : m_replicas.KeysOfBaseModel(model)) {
    if (m_replicas.Find(key)->m_step != ReplicaStep::kRemovingFromRecord) {
      record.m_replicas.insert({.m_endpoint = key.m_endpoint,
                                .m_version = key.m_artifact.m_version});
    }
  }
  return record;
}

void Shard::ReconcileLedger(const EndpointId& endpoint, MonotonicTime now) {
  CasRegister<EndpointLedger>& cas = m_ledgers[endpoint];
  if (cas.busy() || cas.needs_read()) {
    return;
  }
  ObserveLedger(endpoint, cas.value(), now);
  EndpointLedger planned = PlanLedger(endpoint, cas.value(), now);
  if (planned != cas.value()) {
    const RecordName name{.m_kind = RecordKind::kLedger,
                          .m_name = endpoint.value()};
    m_effects.emplace_back(cas.Write(name, std::move(planned)));
  }
}

void Shard::ObserveLedger(const EndpointId& endpoint,
                          const EndpointLedger& ledger,
                          MonotonicTime now) {
  for (const auto& [artifact, reservation] : ledger.m_reservations) {
    if (reservation.m_scope == m_settings.m_scope) {
      ObserveReservation({.m_artifact = artifact, .m_endpoint = endpoint},
                         reservation, now);
    }
  }
  for (const ReplicaKey& key : m_replicas.KeysOnEndpoint(endpoint)) {
    Replica& replica = *m_replicas.Find(key);
    if (replica.m_step != ReplicaStep::kUnreserving ||
        ledger.m_reservations.count(key.m_artifact) > 0) {
      continue;
    }
    if (key.m_artifact.m_adapter.empty()) {
      m_replicas.SetStep(key, replica, ReplicaStep::kRemovingFromRecord);
      MarkDirty(RecordKind::kModel, key.m_artifact.m_model.value());
    } else {
      Erase(key);
    }
  }
}

void Shard::ObserveReservation(const ReplicaKey& key,
                               const Reservation& reservation,
                               MonotonicTime now) {
  Replica* replica = m_replicas.Find(key);
  const bool own = reservation.m_fence == m_fence;
  if (replica == nullptr) {
    Adopt(key, reservation, now);
    return;
  }
  if (replica->m_step == ReplicaStep::kReserving) {
    if (!own) {
      Adopt(key, reservation, now);
      return;
    }
    replica->m_order_number = reservation.m_order_number;
    m_replicas.SetStep(key, *replica, ReplicaStep::kReserved);
    AnswerWaitingDemands(key, *replica, now);
    return;
  }
  if (replica->m_step == ReplicaStep::kMarkingUnload && own &&
      reservation.m_state == ReservationState::kUnloading) {
    replica->m_order_number = reservation.m_order_number;
    SendUnload(key, *replica, now);
  }
}

void Shard::Adopt(const ReplicaKey& key,
                  const Reservation& reservation,
                  MonotonicTime now) {
  Replica replica{
      .m_step = ReplicaStep::kUncertain,
      .m_bytes = reservation.m_bytes,
      .m_peak_bytes = reservation.m_peak_bytes,
      .m_tier = m_chooser.TierOf(key.m_endpoint, key.m_artifact),
      .m_order_number = reservation.m_order_number,
      .m_requested_at = now,
      .m_absence_conclusive_at =
          now + m_settings.m_order_effect_limit + m_settings.m_report_lag,
      .m_fence_pending = true};
  if (const Replica* known = m_replicas.Find(key)) {
    replica.m_waiting = known->m_waiting;
    m_replicas.Erase(key);
  }
  m_replicas.Add(key, std::move(replica));
  if (key.m_artifact.m_adapter.empty()) {
    SlotsOf(ServiceOf(key.m_artifact.m_model)).Adopt(key);
    MarkDirty(RecordKind::kModel, key.m_artifact.m_model.value());
  }
  const EndpointView* view = m_chooser.Find(key.m_endpoint);
  if (view != nullptr && view->m_checks_fencing) {
    m_effects.emplace_back(
        RaiseFence{key.m_endpoint, m_settings.m_scope, m_fence});
  }
}

EndpointLedger Shard::PlanLedger(const EndpointId& endpoint,
                                 EndpointLedger ledger,
                                 MonotonicTime now) {
  const std::vector<ReplicaKey> keys = m_replicas.KeysOnEndpoint(endpoint);
  for (const ReplicaKey& key : keys) {
    if (Replica* replica = m_replicas.Find(key)) {
      PlanReplica(key, *replica, ledger, now);
    }
  }
  for (const ReplicaKey& key : keys) {
    Replica* replica = m_replicas.Find(key);
    if (replica != nullptr && replica->m_step == ReplicaStep::kReserving) {
      Reserve(key, *replica, ledger, now);
    }
  }
  return ledger;
}

void Shard::PlanReplica(const ReplicaKey& key,
                        Replica& replica,
                        EndpointLedger& ledger,
                        MonotonicTime /*now*/) {
  const auto found = ledger.m_reservations.find(key.m_artifact);
  if (found == ledger.m_reservations.end() ||
      found->second.m_scope != m_settings.m_scope) {
    return;
  }
  Reservation& reservation = found->second;
  if (replica.m_step == ReplicaStep::kUnreserving) {
    ledger.m_reservations.erase(found);
    return;
  }
  if (replica.m_step == ReplicaStep::kMarkingUnload) {
    reservation.m_state = ReservationState::kUnloading;
    reservation.m_fence = m_fence;
    reservation.m_order_number = ledger.m_next_order++;
    return;
  }
  if (replica.m_step == ReplicaStep::kReady && reservation.m_counts_peak) {
    reservation.m_counts_peak = false;
    reservation.m_state = ReservationState::kLoaded;
  }
}

void Shard::Reserve(const ReplicaKey& key,
                    Replica& replica,
                    EndpointLedger& ledger,
                    MonotonicTime now) {
  if (ledger.m_reservations.count(key.m_artifact) > 0) {
    return;
  }
  const EndpointView* view = m_chooser.Find(key.m_endpoint);
  const std::uint64_t memory = view == nullptr ? 0 : view->m_memory_bytes;
  const std::uint64_t needed =
      ledger.UsedBytes() + std::max(replica.m_bytes, replica.m_peak_bytes);
  if (needed > memory || !m_chooser.IsUsable(key.m_endpoint)) {
    if (now - replica.m_requested_at >= m_settings.m_memory_wait_limit) {
      Abandon(key, replica);
    }
    return;
  }
  ledger.m_reservations[key.m_artifact] = {
      .m_scope = m_settings.m_scope,
      .m_fence = m_fence,
      .m_bytes = replica.m_bytes,
      .m_peak_bytes = replica.m_peak_bytes,
      .m_order_number = ledger.m_next_order++};
}

void Shard::Abandon(const ReplicaKey& key, Replica& replica) {
  for (Demand& demand : std::exchange(replica.m_waiting, {})) {
    if (++demand.m_attempts > kMaxRetries) {
      Refuse(demand, RefusalReason::kNoCapacity, kRetryAfterAbandoning);
    } else {
      m_undecided.push_back(demand);
    }
  }
  if (key.m_artifact.m_adapter.empty()) {
    m_replicas.SetStep(key, replica, ReplicaStep::kRemovingFromRecord);
    MarkDirty(RecordKind::kModel, key.m_artifact.m_model.value());
    AbandonAdapters(key);
    return;
  }
  Erase(key);
}

void Shard::AbandonAdapters(const ReplicaKey& base) {
  for (const ReplicaKey& key : m_replicas.KeysOnEndpoint(base.m_endpoint)) {
    Replica* adapter = m_replicas.Find(key);
    if (key.m_artifact.m_model == base.m_artifact.m_model &&
        adapter->m_step == ReplicaStep::kAwaitingBase) {
      Abandon(key, *adapter);
    }
  }
}

void Shard::Erase(const ReplicaKey& key) {
  Replica* replica = m_replicas.Find(key);
  if (replica == nullptr) {
    return;
  }
  const std::vector<Demand> waiting = std::exchange(replica->m_waiting, {});
  m_undecided.insert(m_undecided.end(), waiting.begin(), waiting.end());
  m_replicas.Erase(key);
}

void Shard::ReconcileStore(const ServiceId& service, MonotonicTime now) {
  CasRegister<StoreRecord>& cas = m_stores[service];
  if (cas.busy() || cas.needs_read()) {
    return;
  }
  StoreSlots& slots = SlotsOf(service);
  for (const ReplicaKey& key : slots.Observe(cas.value(), now)) {
    Replica* replica = m_replicas.Find(key);
    if (replica != nullptr && replica->m_step == ReplicaStep::kReserved) {
      SendLoad(key, *replica, now);
    } else {
      slots.Release(key);
    }
  }
  StoreRecord planned = slots.Plan(cas.value(), OrderSlotRequests(slots, now),
                                   BudgetOf(service).m_store, now);
  if (planned != cas.value()) {
    const RecordName name{.m_kind = RecordKind::kStore,
                          .m_name = service.value()};
    m_effects.emplace_back(cas.Write(name, std::move(planned)));
  }
}

std::vector<ReplicaKey> Shard::OrderSlotRequests(const StoreSlots& slots,
                                                 MonotonicTime now) const {
  std::vector<ReplicaKey> keys;
  std::vector<WaitingLoad> loads;
  for (const ReplicaKey& key : slots.Requested()) {
    const Replica* replica = m_replicas.Find(key);
    if (replica == nullptr) {
      continue;
    }
    keys.push_back(key);
    loads.push_back({.m_requested_at = replica->m_requested_at,
                     .m_deadline = replica->m_deadline,
                     .m_load_time = replica->m_load_time});
  }
  std::vector<ReplicaKey> ordered;
  for (const std::size_t index : m_policies.m_load_order->Order(loads, now)) {
    ordered.push_back(keys[index]);
  }
  return ordered;
}

void Shard::ApplyRecord(const RecordReply& reply, MonotonicTime now) {
  const std::string& name = reply.m_record.m_name;
  try {
    switch (reply.m_record.m_kind) {
      case RecordKind::kModel:
        m_models[ModelId(name)].ApplyReply(reply);
        break;
      case RecordKind::kLedger:
        m_ledgers[EndpointId(name)].ApplyReply(reply);
        m_chooser.Refresh(EndpointId(name));
        break;
      case RecordKind::kStore:
        m_stores[ServiceId(name)].ApplyReply(reply);
        break;
    }
    m_dirty_records.insert(reply.m_record);
  } catch (const Error&) {
    // The register is read again until its value can be parsed.
    OnRecordFailed(reply.m_record, now);
  }
}

Effects Shard::OnRecord(const RecordReply& reply, MonotonicTime now) {
  ApplyRecord(reply, now);
  return CollectEffects(now);
}

Effects Shard::OnRecordFailed(const RecordName& record, MonotonicTime now) {
  const MonotonicTime retry_at = now + m_settings.m_retry_interval;
  switch (record.m_kind) {
    case RecordKind::kModel:
      m_models[ModelId(record.m_name)].MarkFailed(retry_at);
      break;
    case RecordKind::kLedger:
      m_ledgers[EndpointId(record.m_name)].MarkFailed(retry_at);
      break;
    case RecordKind::kStore:
      m_stores[ServiceId(record.m_name)].MarkFailed(retry_at);
      return CollectEffects(now);
  }
  for (const auto& [key, known] : m_replicas.all()) {
    const bool affected = record.m_kind == RecordKind::kModel
                              ? key.m_artifact.m_model.value() == record.m_name
                              : key.m_endpoint.value() == record.m_name;
    if (affected) {
      RefuseWaitingDemands(*m_replicas.Find(key),
                           RefusalReason::kStoreUnavailable);
    }
  }
  return CollectEffects(now);
}

namespace {

template <typename Map>
void ReadUnsynced(Map& registers,
                  RecordKind kind,
                  MonotonicTime now,
                  Effects& effects) {
  for (auto& [id, cas] : registers) {
    if (cas.needs_read() && now >= cas.retry_at()) {
      effects.emplace_back(cas.Read({.m_kind = kind, .m_name = id.value()}));
    }
  }
}

}  // namespace

void Shard::RereadUnsyncedRecords(MonotonicTime now) {
  ReadUnsynced(m_models, RecordKind::kModel, now, m_effects);
  ReadUnsynced(m_ledgers, RecordKind::kLedger, now, m_effects);
  ReadUnsynced(m_stores, RecordKind::kStore, now, m_effects);
}

void Shard::RefreshContendedRecords(MonotonicTime now) {
  for (auto& [service, slots] : m_slots) {
    if (slots.HasOpenSlots()) {
      MarkDirty(RecordKind::kStore, service.value());
    }
  }
  if (now < m_next_refresh) {
    return;
  }
  m_next_refresh = now + m_settings.m_refresh_interval;
  for (auto& [service, slots] : m_slots) {
    CasRegister<StoreRecord>& cas = m_stores[service];
    if (!slots.Requested().empty() && !cas.busy()) {
      m_effects.emplace_back(
          cas.Read({.m_kind = RecordKind::kStore, .m_name = service.value()}));
    }
  }
  for (const ReplicaKey& key : m_replicas.KeysInStep(ReplicaStep::kReserving)) {
    CasRegister<EndpointLedger>& cas = m_ledgers[key.m_endpoint];
    if (!cas.busy()) {
      m_effects.emplace_back(cas.Read(
          {.m_kind = RecordKind::kLedger, .m_name = key.m_endpoint.value()}));
    }
  }
}

Effects Shard::Start() {
  return {ReadAllRecords{}};
}

Effects Shard::OnRecovered(const std::vector<RecordReply>& records,
                           MonotonicTime now) {
  for (const RecordReply& record : records) {
    const bool foreign_model =
        record.m_record.m_kind == RecordKind::kModel &&
        FindModel(ModelId(record.m_record.m_name)) == nullptr;
    if (!foreign_model) {
      ApplyRecord(record, now);
    }
  }
  // Reservations in the ledgers are adopted before any record is written, so
  // that the model records keep the replicas that they stand for.
  for (const auto& [endpoint, cas] : m_ledgers) {
    ObserveLedger(endpoint, cas.value(), now);
  }
  m_recovered = true;
  m_chooser.RefreshAll();
  return CollectEffects(now);
}

}  // namespace hickoryloft::placement
