// Evicts replicas to free memory for new ones, and reviews idle replicas.

#include <algorithm>

#include "placement/shard.h"

namespace hickoryloft::placement {
namespace {

// A replica is not evicted for another within this time of becoming ready.
constexpr Duration kMinResidence = seconds(5);
// Time before a declined release of another shard's replica is requested again.
constexpr Duration kReleaseRetryInterval = seconds(10);

}  // namespace

double Shard::WorthOf(const ReplicaKey& key,
                      const Replica& replica,
                      MonotonicTime now) const {
  const Duration load_time =
      m_chooser.LoadTime(replica.m_tier, replica.m_bytes);
  return m_policies.m_retention->Worth(key.m_artifact, replica.m_bytes,
                                       load_time, now);
}

std::vector<std::pair<double, ReplicaKey>> Shard::Evictable(
    const EndpointId& endpoint,
    double worth,
    MonotonicTime now) const {
  std::vector<std::pair<double, ReplicaKey>> found;
  for (const ReplicaKey& key : m_replicas.KeysOnEndpoint(endpoint)) {
    const Replica& replica = *m_replicas.Find(key);
    if (replica.m_step != ReplicaStep::kReady ||
        now - replica.m_ready_at < kMinResidence) {
      continue;
    }
    const double own_worth = WorthOf(key, replica, now);
    if (own_worth < worth) {
      found.emplace_back(own_worth, key);
    }
  }
  std::sort(found.begin(), found.end());
  return found;
}

std::uint64_t Shard::EvictableBytes(const EndpointId& endpoint,
                                    double worth,
                                    MonotonicTime now) const {
  std::uint64_t bytes = ReleasableForeignBytes(endpoint, now);
  for (const auto& [own_worth, key] : Evictable(endpoint, worth, now)) {
    bytes += m_replicas.Find(key)->m_bytes;
  }
  return bytes;
}

bool Shard::IsReleaseDeclined(const ReplicaKey& foreign,
                              MonotonicTime now) const {
  const auto declined = m_declined_releases.find(foreign);
  return declined != m_declined_releases.end() && now < declined->second;
}

std::uint64_t Shard::ReleasableForeignBytes(const EndpointId& endpoint,
                                            MonotonicTime now) const {
  const EndpointLedger* ledger = LedgerOf(endpoint);
  if (ledger == nullptr) {
    return 0;
  }
  std::uint64_t bytes = 0;
  for (const auto& [artifact, reservation] : ledger->m_reservations) {
    const bool foreign = reservation.m_scope != m_settings.m_scope;
    if (foreign && !reservation.m_counts_peak && artifact.m_adapter.empty() &&
        !IsReleaseDeclined({.m_artifact = artifact, .m_endpoint = endpoint},
                           now)) {
      bytes += reservation.m_bytes;
    }
  }
  return bytes;
}

bool Shard::WillHaveMemory(const ReplicaKey& key,
                           const Replica& replica,
                           MonotonicTime now) const {
  std::uint64_t available = m_chooser.FreeBytes(key.m_endpoint) +
                            ReleasableForeignBytes(key.m_endpoint, now);
  for (const ReplicaKey& other : m_replicas.KeysOnEndpoint(key.m_endpoint)) {
    const Replica& leaving = *m_replicas.Find(other);
    if (leaving.m_step >= ReplicaStep::kDraining &&
        leaving.m_step <= ReplicaStep::kUnreserving) {
      available += leaving.m_bytes;
    }
  }
  return available >= std::max(replica.m_bytes, replica.m_peak_bytes);
}

Effects Shard::OnReleaseReply(const ReplicaKey& foreign,
                              bool released,
                              MonotonicTime now) {
  if (released) {
    return CollectEffects(now);
  }
  m_declined_releases[foreign] = now + kReleaseRetryInterval;
  for (const ReplicaKey& key : m_replicas.KeysOnEndpoint(foreign.m_endpoint)) {
    Replica* replica = m_replicas.Find(key);
    if (replica == nullptr ||
        (replica->m_step != ReplicaStep::kAddingToRecord &&
         replica->m_step != ReplicaStep::kReserving)) {
      continue;
    }
    if (WillHaveMemory(key, *replica, now)) {
      FreeMemory(key.m_endpoint, replica->m_peak_bytes,
                 WorthOf(key, *replica, now), now);
    } else {
      Abandon(key, *replica);
    }
  }
  return CollectEffects(now);
}

void Shard::FreeMemory(const EndpointId& endpoint,
                       std::uint64_t bytes,
                       double worth,
                       MonotonicTime now) {
  std::uint64_t free = m_chooser.FreeBytes(endpoint);
  for (const auto& [own_worth, key] : Evictable(endpoint, worth, now)) {
    if (free >= bytes) {
      return;
    }
    free += m_replicas.Find(key)->m_bytes;
    BeginRelease(key);
  }
  if (free < bytes) {
    RequestForeignReleases(endpoint, bytes - free, worth, now);
  }
}

void Shard::RequestForeignReleases(const EndpointId& endpoint,
                                   std::uint64_t bytes,
                                   double worth,
                                   MonotonicTime now) {
  const EndpointLedger* ledger = LedgerOf(endpoint);
  if (ledger == nullptr) {
    return;
  }
  std::uint64_t requested = 0;
  for (const auto& [artifact, reservation] : ledger->m_reservations) {
    const bool foreign = reservation.m_scope != m_settings.m_scope;
    if (!foreign || reservation.m_counts_peak || !artifact.m_adapter.empty() ||
        IsReleaseDeclined({.m_artifact = artifact, .m_endpoint = endpoint},
                          now)) {
      continue;
    }
    if (requested >= bytes) {
      return;
    }
    requested += reservation.m_bytes;
    m_effects.emplace_back(RequestReplicaRelease{
        {.m_artifact = artifact, .m_endpoint = endpoint}, worth});
  }
}

bool Shard::GrantsRelease(const ReplicaKey& key,
                          double worth,
                          MonotonicTime now) const {
  const Replica* replica = m_replicas.Find(key);
  if (replica == nullptr) {
    return false;
  }
  if (replica->m_step != ReplicaStep::kReady) {
    return replica->m_step >= ReplicaStep::kDraining;
  }
  return now - replica->m_ready_at >= kMinResidence &&
         WorthOf(key, *replica, now) < worth;
}

Effects Shard::OnReleaseRequested(const ReplicaKey& key,
                                  double worth,
                                  MonotonicTime now) {
  if (GrantsRelease(key, worth, now)) {
    BeginRelease(key);
  }
  return CollectEffects(now);
}

void Shard::BeginRelease(const ReplicaKey& key) {
  Replica* replica = m_replicas.Find(key);
  if (replica == nullptr || replica->m_step != ReplicaStep::kReady) {
    return;
  }
  if (!key.m_artifact.m_adapter.empty()) {
    m_replicas.SetStep(key, *replica, ReplicaStep::kMarkingUnload);
    MarkRecordsDirty(key);
    return;
  }
  m_replicas.SetStep(key, *replica, ReplicaStep::kDraining);
}

void Shard::ContinueDrains() {
  const std::set<ReplicaKey> draining =
      m_replicas.KeysInStep(ReplicaStep::kDraining);
  for (const ReplicaKey& base : draining) {
    bool empty = true;
    for (const ReplicaKey& key : m_replicas.KeysOnEndpoint(base.m_endpoint)) {
      if (key.m_artifact.m_model != base.m_artifact.m_model ||
          key.m_artifact.m_adapter.empty()) {
        continue;
      }
      empty = false;
      BeginRelease(key);
    }
    if (empty) {
      m_replicas.SetStep(base, *m_replicas.Find(base),
                         ReplicaStep::kMarkingUnload);
      MarkRecordsDirty(base);
    }
  }
}

bool Shard::ShouldRelease(const ReplicaKey& key,
                          const Replica& replica,
                          MonotonicTime now) const {
  const CatalogModel* model = FindModel(key.m_artifact.m_model);
  if (!IsAllowed(key.m_artifact)) {
    return true;
  }
  if (now - replica.m_ready_at < kMinResidence ||
      (key.m_artifact.m_adapter.empty() &&
       CountActiveReplicas(model->m_id) <= model->m_min_replicas)) {
    return false;
  }
  const Duration load_time =
      m_chooser.LoadTime(replica.m_tier, replica.m_bytes);
  return m_policies.m_retention->ShouldRelease(key.m_artifact, replica.m_bytes,
                                               load_time, now);
}

void Shard::ReviewReplicas(MonotonicTime now) {
  const std::set<ReplicaKey> ready = m_replicas.KeysInStep(ReplicaStep::kReady);
  for (const ReplicaKey& key : ready) {
    if (ShouldRelease(key, *m_replicas.Find(key), now)) {
      BeginRelease(key);
    }
  }
}

void Shard::ReviewModels(MonotonicTime now) {
  for (const auto& [id, model] : m_catalog) {
    const std::uint32_t replicas = CountActiveReplicas(id);
    const Artifact artifact{.m_model = id, .m_version = model.m_version};
    const Duration load_time =
        m_chooser.LoadTime(CheckpointTier::kRemote, model.m_bytes);
    const bool pre_warm =
        replicas == 0 && EstimateStoreWait(ServiceOf(id)) == Duration{} &&
        m_policies.m_retention->ShouldPreWarm(artifact, load_time, now);
    if (replicas < model.m_min_replicas || pre_warm) {
      AddModel(model, 0, Duration::max(), now);
    }
  }
}

}  // namespace hickoryloft::placement
