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
constexpr std::uint32_t kMostAttempts = 4;
constexpr Duration kRetryAfterGivingUp = seconds(2);

}  // namespace

void Shard::Touch(RecordKind kind, const std::string& name) {
  m_touched.insert({.m_kind = kind, .m_name = name});
}

void Shard::TouchFor(const ReplicaKey& key) {
  if (key.m_artifact.m_adapter.empty()) {
    Touch(RecordKind::kModel, key.m_artifact.m_model.value());
  }
  Touch(RecordKind::kLedger, key.m_endpoint.value());
}

void Shard::Run(MonotonicTime now) {
  if (!m_recovered) {
    return;
  }
  do {
    while (!m_touched.empty()) {
      const RecordName record = *m_touched.begin();
      m_touched.erase(m_touched.begin());
      Settle(record, now);
    }
    if (!m_undecided.empty()) {
      const Demand demand = m_undecided.front();
      m_undecided.pop_front();
      Decide(demand, now);
    }
    ContinueDrains();
    DispatchLoads(now);
    DispatchAdapters(now);
  } while (!m_touched.empty() || !m_undecided.empty());
}

void Shard::Settle(const RecordName& record, MonotonicTime now) {
  switch (record.m_kind) {
    case RecordKind::kModel:
      SettleModel(ModelId(record.m_name));
      return;
    case RecordKind::kLedger:
      SettleLedger(EndpointId(record.m_name), now);
      return;
    case RecordKind::kStore:
      SettleStore(ServiceId(record.m_name), now);
      return;
  }
}

void Shard::SettleModel(const ModelId& model) {
  CasRegister<ModelRecord>& cas = m_models[model];
  if (cas.busy() || cas.lost()) {
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
  for (const ReplicaKey& key : m_replicas.OfBase(model)) {
    Replica& replica = *m_replicas.Find(key);
    const bool named =
        record.m_replicas.count({.m_endpoint = key.m_endpoint,
                                 .m_version = key.m_artifact.m_version}) > 0;
    if (replica.m_step == ReplicaStep::kDeciding && named) {
      m_replicas.Move(key, replica, ReplicaStep::kReserving);
      Touch(RecordKind::kLedger, key.m_endpoint.value());
    } else if (replica.m_step == ReplicaStep::kForgetting && !named) {
      Erase(key);
    }
  }
}

ModelRecord Shard::PlanModel(const ModelId& model) const {
  ModelRecord record;
  for (const ReplicaKey& key : m_replicas.OfBase(model)) {
    if (m_replicas.Find(key)->m_step != ReplicaStep::kForgetting) {
      record.m_replicas.insert({.m_endpoint = key.m_endpoint,
                                .m_version = key.m_artifact.m_version});
    }
  }
  return record;
}

void Shard::SettleLedger(const EndpointId& endpoint, MonotonicTime now) {
  CasRegister<EndpointLedger>& cas = m_ledgers[endpoint];
  if (cas.busy() || cas.lost()) {
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
  for (const ReplicaKey& key : m_replicas.On(endpoint)) {
    Replica& replica = *m_replicas.Find(key);
    if (replica.m_step != ReplicaStep::kReleasing ||
        ledger.m_reservations.count(key.m_artifact) > 0) {
      continue;
    }
    if (key.m_artifact.m_adapter.empty()) {
      m_replicas.Move(key, replica, ReplicaStep::kForgetting);
      Touch(RecordKind::kModel, key.m_artifact.m_model.value());
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
    m_replicas.Move(key, *replica, ReplicaStep::kReserved);
    AnswerWaiting(key, *replica, now);
    return;
  }
  if (replica->m_step == ReplicaStep::kMarking && own &&
      reservation.m_state == ReservationState::kUnloading) {
    replica->m_order_number = reservation.m_order_number;
    SendUnload(key, *replica, now);
  }
}

void Shard::Adopt(const ReplicaKey& key,
                  const Reservation& reservation,
                  MonotonicTime now) {
  Replica replica{.m_step = ReplicaStep::kUnsure,
                  .m_bytes = reservation.m_bytes,
                  .m_peak_bytes = reservation.m_peak_bytes,
                  .m_tier = m_chooser.TierOf(key.m_endpoint, key.m_artifact),
                  .m_order_number = reservation.m_order_number,
                  .m_asked_at = now,
                  .m_absent_after = now + m_settings.m_order_effect_limit +
                                    m_settings.m_report_lag,
                  .m_fence_pending = true};
  if (const Replica* known = m_replicas.Find(key)) {
    replica.m_waiting = known->m_waiting;
    m_replicas.Erase(key);
  }
  m_replicas.Add(key, std::move(replica));
  if (key.m_artifact.m_adapter.empty()) {
    SlotsOf(ServiceOf(key.m_artifact.m_model)).Adopt(key);
    Touch(RecordKind::kModel, key.m_artifact.m_model.value());
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
  const std::vector<ReplicaKey> keys = m_replicas.On(endpoint);
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
  if (replica.m_step == ReplicaStep::kReleasing) {
    ledger.m_reservations.erase(found);
    return;
  }
  if (replica.m_step == ReplicaStep::kMarking) {
    reservation.m_state = ReservationState::kUnloading;
    reservation.m_fence = m_fence;
    reservation.m_order_number = ledger.m_next_order++;
    return;
  }
  if (replica.m_step == ReplicaStep::kReady && reservation.m_peaks) {
    reservation.m_peaks = false;
    reservation.m_state = ReservationState::kResting;
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
  if (needed > memory || !m_chooser.Usable(key.m_endpoint)) {
    if (now - replica.m_asked_at >= m_settings.m_room_limit) {
      GiveUp(key, replica);
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

void Shard::GiveUp(const ReplicaKey& key, Replica& replica) {
  for (Demand& demand : std::exchange(replica.m_waiting, {})) {
    if (++demand.m_attempts > kMostAttempts) {
      Refuse(demand, RefusalReason::kNoCapacity, kRetryAfterGivingUp);
    } else {
      m_undecided.push_back(demand);
    }
  }
  if (key.m_artifact.m_adapter.empty()) {
    m_replicas.Move(key, replica, ReplicaStep::kForgetting);
    Touch(RecordKind::kModel, key.m_artifact.m_model.value());
    GiveUpAdapters(key);
    return;
  }
  Erase(key);
}

void Shard::GiveUpAdapters(const ReplicaKey& base) {
  for (const ReplicaKey& key : m_replicas.On(base.m_endpoint)) {
    Replica* adapter = m_replicas.Find(key);
    if (key.m_artifact.m_model == base.m_artifact.m_model &&
        adapter->m_step == ReplicaStep::kAwaitingBase) {
      GiveUp(key, *adapter);
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

void Shard::SettleStore(const ServiceId& service, MonotonicTime now) {
  CasRegister<StoreRecord>& cas = m_stores[service];
  if (cas.busy() || cas.lost()) {
    return;
  }
  StoreSlots& slots = SlotsOf(service);
  for (const ReplicaKey& key : slots.Observe(cas.value(), now)) {
    Replica* replica = m_replicas.Find(key);
    if (replica != nullptr && replica->m_step == ReplicaStep::kReserved) {
      SendLoad(key, *replica, now);
    } else {
      slots.End(key);
    }
  }
  StoreRecord planned = slots.Plan(cas.value(), WantedInOrder(slots, now),
                                   BudgetOf(service).m_store, now);
  if (planned != cas.value()) {
    const RecordName name{.m_kind = RecordKind::kStore,
                          .m_name = service.value()};
    m_effects.emplace_back(cas.Write(name, std::move(planned)));
  }
}

std::vector<ReplicaKey> Shard::WantedInOrder(const StoreSlots& slots,
                                             MonotonicTime now) const {
  std::vector<ReplicaKey> keys;
  std::vector<WaitingLoad> loads;
  for (const ReplicaKey& key : slots.Wanted()) {
    const Replica* replica = m_replicas.Find(key);
    if (replica == nullptr) {
      continue;
    }
    keys.push_back(key);
    loads.push_back({.m_asked_at = replica->m_asked_at,
                     .m_deadline = replica->m_deadline,
                     .m_load_time = replica->m_load_time});
  }
  std::vector<ReplicaKey> ordered;
  for (const std::size_t index : m_policies.m_load_order->Order(loads, now)) {
    ordered.push_back(keys[index]);
  }
  return ordered;
}

void Shard::Take(const RecordReply& reply, MonotonicTime now) {
  const std::string& name = reply.m_record.m_name;
  try {
    switch (reply.m_record.m_kind) {
      case RecordKind::kModel:
        m_models[ModelId(name)].Take(reply);
        break;
      case RecordKind::kLedger:
        m_ledgers[EndpointId(name)].Take(reply);
        m_chooser.Refresh(EndpointId(name));
        break;
      case RecordKind::kStore:
        m_stores[ServiceId(name)].Take(reply);
        break;
    }
    m_touched.insert(reply.m_record);
  } catch (const Error&) {
    // The register is read again until its value can be parsed.
    OnRecordFailed(reply.m_record, now);
  }
}

Effects Shard::OnRecord(const RecordReply& reply, MonotonicTime now) {
  Take(reply, now);
  return TakeEffects(now);
}

Effects Shard::OnRecordFailed(const RecordName& record, MonotonicTime now) {
  const MonotonicTime retry_at = now + m_settings.m_retry_interval;
  switch (record.m_kind) {
    case RecordKind::kModel:
      m_models[ModelId(record.m_name)].Fail(retry_at);
      break;
    case RecordKind::kLedger:
      m_ledgers[EndpointId(record.m_name)].Fail(retry_at);
      break;
    case RecordKind::kStore:
      m_stores[ServiceId(record.m_name)].Fail(retry_at);
      return TakeEffects(now);
  }
  for (const auto& [key, known] : m_replicas.all()) {
    const bool concerned = record.m_kind == RecordKind::kModel
                               ? key.m_artifact.m_model.value() == record.m_name
                               : key.m_endpoint.value() == record.m_name;
    if (concerned) {
      RefuseWaiting(*m_replicas.Find(key), RefusalReason::kStoreUnavailable);
    }
  }
  return TakeEffects(now);
}

namespace {

template <typename Map>
void ReadLost(Map& registers,
              RecordKind kind,
              MonotonicTime now,
              Effects& effects) {
  for (auto& [id, cas] : registers) {
    if (cas.lost() && now >= cas.retry_at()) {
      effects.emplace_back(cas.Read({.m_kind = kind, .m_name = id.value()}));
    }
  }
}

}  // namespace

void Shard::RetryLost(MonotonicTime now) {
  ReadLost(m_models, RecordKind::kModel, now, m_effects);
  ReadLost(m_ledgers, RecordKind::kLedger, now, m_effects);
  ReadLost(m_stores, RecordKind::kStore, now, m_effects);
}

void Shard::RefreshAwaited(MonotonicTime now) {
  for (auto& [service, slots] : m_slots) {
    if (slots.HasWork()) {
      Touch(RecordKind::kStore, service.value());
    }
  }
  if (now < m_next_refresh) {
    return;
  }
  m_next_refresh = now + m_settings.m_refresh_interval;
  for (auto& [service, slots] : m_slots) {
    CasRegister<StoreRecord>& cas = m_stores[service];
    if (!slots.Wanted().empty() && !cas.busy()) {
      m_effects.emplace_back(
          cas.Read({.m_kind = RecordKind::kStore, .m_name = service.value()}));
    }
  }
  for (const ReplicaKey& key : m_replicas.In(ReplicaStep::kReserving)) {
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
      Take(record, now);
    }
  }
  // Reservations in the ledgers are adopted before any record is written, so
  // that the model records keep the replicas that they stand for.
  for (const auto& [endpoint, cas] : m_ledgers) {
    ObserveLedger(endpoint, cas.value(), now);
  }
  m_recovered = true;
  m_chooser.RefreshAll();
  return TakeEffects(now);
}

}  // namespace hickoryloft::placement
