// Sends orders to engines, and handles order replies and inventory reports.

#include <algorithm>

#include "placement/shard.h"

namespace hickoryloft::placement {
namespace {

bool IsBase(const ReplicaKey& key) {
  return key.m_artifact.m_adapter.empty();
}

}  // namespace

void Shard::DispatchLoads(MonotonicTime now) {
  const std::set<ReplicaKey> reserved =
      m_replicas.KeysInStep(ReplicaStep::kReserved);
  for (const ReplicaKey& key : reserved) {
    if (!IsBase(key)) {
      continue;
    }
    Replica& replica = *m_replicas.Find(key);
    if (replica.m_tier != CheckpointTier::kRemote) {
      SendLoad(key, replica, now);
      continue;
    }
    const ServiceId service = ServiceOf(key.m_artifact.m_model);
    StoreSlots& slots = SlotsOf(service);
    if (!slots.Has(key)) {
      slots.Request(key);
      MarkDirty(RecordKind::kStore, service.value());
    }
  }
}

void Shard::DispatchAdapters(MonotonicTime now) {
  std::map<ServiceId, std::uint32_t> in_flight;
  for (const ReplicaKey& key : m_replicas.KeysInStep(ReplicaStep::kLoading)) {
    if (!IsBase(key)) {
      ++in_flight[ServiceOf(key.m_artifact.m_model)];
    }
  }
  const std::set<ReplicaKey> reserved =
      m_replicas.KeysInStep(ReplicaStep::kReserved);
  for (const ReplicaKey& key : reserved) {
    const ServiceId service = ServiceOf(key.m_artifact.m_model);
    if (IsBase(key) ||
        in_flight[service] >= BudgetOf(service).m_adapter_loads_in_flight) {
      continue;
    }
    ++in_flight[service];
    SendLoad(key, *m_replicas.Find(key), now);
  }
}

void Shard::SendLoad(const ReplicaKey& key,
                     Replica& replica,
                     MonotonicTime now) {
  m_replicas.SetStep(key, replica, ReplicaStep::kLoading);
  replica.m_ordered_at = now;
  replica.m_reply_pending = true;
  replica.m_observed = false;
  replica.m_absence_conclusive_at =
      now + m_settings.m_order_effect_limit + m_settings.m_report_lag;
  m_effects.emplace_back(SendOrder{key.m_endpoint,
                                   {.m_kind = endpoint::OrderKind::kLoad,
                                    .m_number = replica.m_order_number,
                                    .m_scope = m_settings.m_scope,
                                    .m_fencing_number = m_fence,
                                    .m_artifact = key.m_artifact,
                                    .m_bytes = replica.m_bytes,
                                    .m_peak_bytes = replica.m_peak_bytes}});
}

void Shard::SendUnload(const ReplicaKey& key,
                       Replica& replica,
                       MonotonicTime now) {
  m_replicas.SetStep(key, replica, ReplicaStep::kUnloading);
  replica.m_ordered_at = now;
  replica.m_reply_pending = true;
  m_effects.emplace_back(SendOrder{key.m_endpoint,
                                   {.m_kind = endpoint::OrderKind::kUnload,
                                    .m_number = replica.m_order_number,
                                    .m_scope = m_settings.m_scope,
                                    .m_fencing_number = m_fence,
                                    .m_artifact = key.m_artifact,
                                    .m_bytes = replica.m_bytes,
                                    .m_peak_bytes = replica.m_peak_bytes}});
}

Effects Shard::OnOrderReply(const EndpointId& endpoint,
                            std::uint64_t order_number,
                            const Result<endpoint::OrderReply>& reply,
                            MonotonicTime now) {
  for (const ReplicaKey& key : m_replicas.KeysOnEndpoint(endpoint)) {
    Replica& replica = *m_replicas.Find(key);
    if (replica.m_order_number == order_number && replica.m_reply_pending) {
      ApplyOrderReply(key, replica, reply, now);
      break;
    }
  }
  return CollectEffects(now);
}

void Shard::ApplyOrderReply(const ReplicaKey& key,
                            Replica& replica,
                            const Result<endpoint::OrderReply>& reply,
                            MonotonicTime now) {
  replica.m_reply_pending = false;
  const bool no_effect =
      reply.ok() ? reply.value().m_outcome != endpoint::OrderOutcome::kAccepted
                 : reply.error().code() == ErrorCode::kUnavailable;
  if (replica.m_step == ReplicaStep::kLoading) {
    if (no_effect) {
      RefuseWaitingDemands(replica, RefusalReason::kNoCapacity);
      MarkAbsent(key, replica);
    } else if (reply.ok()) {
      const Duration lag =
          replica.m_observed ? Duration{} : m_settings.m_report_lag;
      replica.m_absence_conclusive_at = now + lag;
    }
    return;
  }
  if (replica.m_step == ReplicaStep::kUnloading && no_effect) {
    // The replica is probably still loaded; the next inventory shows it.
    m_replicas.SetStep(key, replica, ReplicaStep::kUncertain);
    replica.m_absence_conclusive_at = now;
  }
}

Effects Shard::OnFenceRaised(const EndpointId& endpoint,
                             bool raised,
                             MonotonicTime now) {
  if (!raised) {
    return CollectEffects(now);
  }
  for (const ReplicaKey& key : m_replicas.KeysOnEndpoint(endpoint)) {
    Replica& replica = *m_replicas.Find(key);
    if (replica.m_fence_pending) {
      replica.m_fence_pending = false;
      replica.m_absence_conclusive_at = now + m_settings.m_report_lag;
    }
  }
  return CollectEffects(now);
}

void Shard::ExpireFenceWaits(MonotonicTime now) {
  for (const ReplicaKey& key : m_replicas.KeysInStep(ReplicaStep::kUncertain)) {
    Replica& replica = *m_replicas.Find(key);
    const Duration waited = now - replica.m_requested_at;
    if (replica.m_fence_pending && waited >= m_settings.m_order_effect_limit) {
      replica.m_fence_pending = false;
    }
  }
}

Effects Shard::OnInventory(const EndpointId& endpoint,
                           const endpoint::InventoryReport& report,
                           MonotonicTime requested_at,
                           MonotonicTime now) {
  std::map<Artifact, const endpoint::InventoryItem*> items;
  for (const endpoint::InventoryItem& item : report.m_items) {
    items[item.m_artifact] = &item;
  }
  for (const ReplicaKey& key : m_replicas.KeysOnEndpoint(endpoint)) {
    Replica* replica = m_replicas.Find(key);
    if (replica == nullptr) {
      continue;  // Erased together with its base model.
    }
    const auto item = items.find(key.m_artifact);
    if (item != items.end()) {
      ObserveItem(key, *replica, *item->second, now);
    } else {
      ObserveAbsence(key, *replica, requested_at);
    }
  }
  return CollectEffects(now);
}

void Shard::ObserveItem(const ReplicaKey& key,
                        Replica& replica,
                        const endpoint::InventoryItem& item,
                        MonotonicTime now) {
  const bool ready = item.m_phase == ArtifactPhase::kReady;
  const bool loading = replica.m_step == ReplicaStep::kLoading;
  if (replica.m_fence_pending ||
      (loading && item.m_order_number != replica.m_order_number)) {
    return;
  }
  replica.m_observed = true;
  // While a copy of the load order may still arrive, a report without the
  // replica proves nothing. Afterwards any report requested later does.
  const bool settled =
      !replica.m_reply_pending ||
      now >= replica.m_ordered_at + m_settings.m_order_effect_limit;
  if (settled || replica.m_step == ReplicaStep::kUnloading) {
    replica.m_absence_conclusive_at = now;
  }
  if (ready && (loading || replica.m_step == ReplicaStep::kUncertain)) {
    MarkReady(key, replica, now);
    return;
  }
  const Duration limit =
      m_settings.m_order_effect_limit + m_settings.m_report_lag;
  if (ready && replica.m_step == ReplicaStep::kUnloading &&
      now - replica.m_ordered_at > limit) {
    // The unload order was lost. The release starts again, because a new order
    // needs a new number.
    m_replicas.SetStep(key, replica, ReplicaStep::kReady);
    BeginRelease(key);
  }
}

void Shard::ObserveAbsence(const ReplicaKey& key,
                           Replica& replica,
                           MonotonicTime requested_at) {
  const bool may_be_present = replica.m_step == ReplicaStep::kLoading ||
                              replica.m_step == ReplicaStep::kReady ||
                              replica.m_step == ReplicaStep::kDraining ||
                              replica.m_step == ReplicaStep::kUnloading ||
                              replica.m_step == ReplicaStep::kUncertain;
  if (may_be_present && !replica.m_fence_pending &&
      requested_at >= replica.m_absence_conclusive_at) {
    MarkAbsent(key, replica);
  }
}

void Shard::MarkReady(const ReplicaKey& key,
                      Replica& replica,
                      MonotonicTime now) {
  if (replica.m_step == ReplicaStep::kLoading) {
    m_chooser.load_times().Record(replica.m_tier, replica.m_bytes,
                                  now - replica.m_ordered_at);
  }
  m_replicas.SetStep(key, replica, ReplicaStep::kReady);
  replica.m_ready_at = now;
  ReleaseSlot(key);
  MarkRecordsDirty(key);
  if (!IsBase(key)) {
    return;
  }
  for (const ReplicaKey& other : m_replicas.KeysOnEndpoint(key.m_endpoint)) {
    Replica& adapter = *m_replicas.Find(other);
    if (other.m_artifact.m_model == key.m_artifact.m_model &&
        adapter.m_step == ReplicaStep::kAwaitingBase) {
      m_replicas.SetStep(other, adapter, ReplicaStep::kReserving);
    }
  }
}

void Shard::MarkAbsent(const ReplicaKey& key, Replica& replica) {
  if (replica.m_step == ReplicaStep::kRemovingFromRecord) {
    return;
  }
  ReleaseSlot(key);
  RefuseWaitingDemands(replica, RefusalReason::kNoCapacity);
  m_replicas.SetStep(key, replica, ReplicaStep::kUnreserving);
  MarkRecordsDirty(key);
  if (IsBase(key)) {
    AbandonAdapters(key);
  }
}

void Shard::ReleaseSlot(const ReplicaKey& key) {
  if (!IsBase(key)) {
    return;
  }
  const ServiceId service = ServiceOf(key.m_artifact.m_model);
  SlotsOf(service).Release(key);
  MarkDirty(RecordKind::kStore, service.value());
}

void Shard::PollUncertainReplicas(MonotonicTime now) {
  std::set<EndpointId> endpoints;
  for (const ReplicaStep step : {ReplicaStep::kLoading, ReplicaStep::kUnloading,
                                 ReplicaStep::kUncertain}) {
    for (const ReplicaKey& key : m_replicas.KeysInStep(step)) {
      if (NeedsInventory(*m_replicas.Find(key))) {
        endpoints.insert(key.m_endpoint);
      }
    }
  }
  for (const EndpointId& endpoint : endpoints) {
    MonotonicTime& next = m_next_poll[endpoint];
    if (now >= next) {
      next = now + m_settings.m_poll_interval;
      m_effects.emplace_back(FetchInventory{endpoint});
    }
  }
}

Effects Shard::OnTick(MonotonicTime now) {
  if (!m_recovered) {
    return {};
  }
  ExpireFenceWaits(now);
  RereadUnsyncedRecords(now);
  PollUncertainReplicas(now);
  RefreshContendedRecords(now);
  if (now >= m_next_review) {
    m_next_review = now + m_settings.m_review_interval;
    ReviewReplicas(now);
    ReviewModels(now);
  }
  return CollectEffects(now);
}

}  // namespace hickoryloft::placement
