#include "placement/shard.h"

#include <algorithm>

namespace hickoryloft::placement {
namespace {

constexpr Duration kRetryAfterFailure = seconds(1);
constexpr Duration kRetryAfterNoCapacity = seconds(2);
// Expected remaining time of an overdue load, as a share of its elapsed time.
constexpr double kOverdueShare = 0.25;

Artifact BaseOf(const CatalogModel& model) {
  return {.m_model = model.m_id, .m_version = model.m_version};
}

}  // namespace

ServiceId ServiceOf(const ModelId& model) {
  return ServiceId(model.value().substr(0, model.value().find('/')));
}

Shard::Shard(ShardSettings settings, Policies policies, FencingNumber fence)
    : m_settings(std::move(settings)),
      m_policies(std::move(policies)),
      m_fence(fence),
      m_chooser(*m_policies.m_endpoint,
                m_replicas,
                [this](const EndpointId& id) { return LedgerOf(id); }) {}

Effects Shard::SetCatalog(Catalog catalog,
                          std::map<ServiceId, LoadBudget> budgets,
                          MonotonicTime now) {
  m_catalog = std::move(catalog);
  m_budgets = std::move(budgets);
  m_next_review = now;
  return CollectEffects(now);
}

Effects Shard::OnEndpoint(const EndpointView& view, MonotonicTime now) {
  m_chooser.Update(view);
  for (const ReplicaKey& key : m_replicas.KeysOnEndpoint(view.m_id)) {
    if (m_replicas.Find(key)->m_step == ReplicaStep::kReady) {
      m_effects.emplace_back(FetchInventory{view.m_id});
      break;
    }
  }
  return CollectEffects(now);
}

Effects Shard::OnEndpointRemoved(const EndpointId& endpoint,
                                 MonotonicTime now) {
  m_chooser.Remove(endpoint);
  for (const ReplicaKey& key : m_replicas.KeysOnEndpoint(endpoint)) {
    if (Replica* replica = m_replicas.Find(key)) {
      MarkAbsent(key, *replica);
    }
  }
  return CollectEffects(now);
}

Effects Shard::OnDemand(const Demand& demand, MonotonicTime now) {
  Demand with_deadline = demand;
  with_deadline.m_deadline = now + demand.m_patience;
  m_undecided.push_back(with_deadline);
  return CollectEffects(now);
}

bool Shard::HasOpenWork() const {
  return std::any_of(m_replicas.all().begin(), m_replicas.all().end(),
                     [](const auto& item) {
                       return item.second.m_step != ReplicaStep::kReady;
                     });
}

void Shard::Decide(Demand demand, MonotonicTime now) {
  demand.m_patience = demand.m_deadline - now;
  const CatalogModel* model = FindModel(demand.m_model);
  if (model == nullptr || (!demand.m_adapter.empty() &&
                           model->m_adapters.count(demand.m_adapter) == 0)) {
    Refuse(demand, RefusalReason::kUnknownModel, {});
    return;
  }
  m_policies.m_retention->OnUse(BaseOf(*model), now);
  Artifact artifact = BaseOf(*model);
  if (!demand.m_adapter.empty()) {
    artifact.m_adapter = demand.m_adapter;
    artifact.m_version = model->m_adapters.at(demand.m_adapter).m_version;
    m_policies.m_retention->OnUse(artifact, now);
  }
  if (AnswerFromReadyReplica(demand, artifact) ||
      JoinStartingReplica(demand, artifact, now)) {
    return;
  }
  if (demand.m_adapter.empty()) {
    PlaceModel(demand, *model, now);
  } else {
    PlaceAdapter(demand, *model, now);
  }
}

bool Shard::AnswerFromReadyReplica(const Demand& demand,
                                   const Artifact& artifact) {
  const EndpointView* best = nullptr;
  for (const ReplicaKey& key : m_replicas.KeysOfArtifact(artifact)) {
    if (m_replicas.Find(key)->m_step != ReplicaStep::kReady ||
        !m_chooser.IsUsable(key.m_endpoint)) {
      continue;
    }
    const EndpointView* view = m_chooser.Find(key.m_endpoint);
    if (best == nullptr ||
        view->m_waiting + view->m_running < best->m_waiting + best->m_running) {
      best = view;
    }
  }
  if (best == nullptr) {
    return false;
  }
  m_effects.emplace_back(AnswerDemand{{.m_id = demand.m_id,
                                       .m_verdict = DemandVerdict::kReady,
                                       .m_endpoint = best->m_id}});
  return true;
}

bool Shard::JoinStartingReplica(const Demand& demand,
                                const Artifact& artifact,
                                MonotonicTime now) {
  std::optional<ReplicaKey> best;
  for (const ReplicaKey& key : m_replicas.KeysOfArtifact(artifact)) {
    const Replica& replica = *m_replicas.Find(key);
    if (!IsStarting(replica) || !m_chooser.IsUsable(key.m_endpoint)) {
      continue;
    }
    if (!best.has_value() ||
        TimeUntilReady(key, replica, now) <
            TimeUntilReady(*best, *m_replicas.Find(*best), now)) {
      best = key;
    }
  }
  if (!best.has_value()) {
    return false;
  }
  WaitForReplica(demand, *best, now);
  return true;
}

void Shard::WaitForReplica(const Demand& demand,
                           const ReplicaKey& key,
                           MonotonicTime now) {
  Replica& replica = *m_replicas.Find(key);
  const Duration ready_in = TimeUntilReady(key, replica, now);
  if (ready_in > demand.m_patience) {
    Refuse(demand, RefusalReason::kTooSlow, ready_in);
    return;
  }
  replica.m_deadline = std::min(replica.m_deadline, now + demand.m_patience);
  if (replica.m_step >= ReplicaStep::kReserved) {
    AnswerLoading(demand, key, now);
    return;
  }
  replica.m_waiting.push_back(demand);
}

void Shard::PlaceModel(const Demand& demand,
                       const CatalogModel& model,
                       MonotonicTime now) {
  const PlacementResult result = AddModel(model, 0, demand.m_patience, now);
  if (!result.m_key.has_value()) {
    Refuse(demand, result.m_reason, result.m_retry_after);
    return;
  }
  WaitForReplica(demand, *result.m_key, now);
}

void Shard::PlaceAdapter(const Demand& demand,
                         const CatalogModel& model,
                         MonotonicTime now) {
  std::optional<EndpointId> endpoint = EndpointWithBase(model);
  const CatalogAdapter& spec = model.m_adapters.at(demand.m_adapter);
  if (!endpoint.has_value()) {
    const PlacementResult result =
        AddModel(model, spec.m_bytes, demand.m_patience, now);
    if (!result.m_key.has_value()) {
      Refuse(demand, result.m_reason, result.m_retry_after);
      return;
    }
    endpoint = result.m_key->m_endpoint;
  }
  const ReplicaKey key{.m_artifact = {.m_model = model.m_id,
                                      .m_adapter = demand.m_adapter,
                                      .m_version = spec.m_version},
                       .m_endpoint = *endpoint};
  if (Replica* leaving = m_replicas.Find(key)) {
    leaving->m_waiting.push_back(demand);  // Decided again once it is unloaded.
    return;
  }
  AddAdapter(model, key, now);
  WaitForReplica(demand, key, now);
}

Shard::PlacementResult Shard::AddModel(const CatalogModel& model,
                                       std::uint64_t extra_bytes,
                                       Duration patience,
                                       MonotonicTime now) {
  PlacementResult no_capacity{.m_reason = RefusalReason::kNoCapacity,
                              .m_retry_after = kRetryAfterNoCapacity};
  if (CountActiveReplicas(model.m_id) >= model.m_max_replicas) {
    return no_capacity;
  }
  const Artifact artifact = BaseOf(model);
  const std::uint64_t bytes = model.m_peak_bytes + extra_bytes;
  const Duration remote =
      m_chooser.LoadTime(CheckpointTier::kRemote, model.m_bytes);
  const double worth =
      m_policies.m_retention->Worth(artifact, model.m_bytes, remote, now);
  const auto evictable = [&](const EndpointId& id) {
    return EvictableBytes(id, worth, now);
  };
  const std::optional<EndpointId> endpoint = m_chooser.Choose(
      {.m_artifact = artifact, .m_bytes = bytes, .m_load_bytes = model.m_bytes},
      evictable);
  if (!endpoint.has_value()) {
    return no_capacity;
  }
  const CheckpointTier tier = m_chooser.TierOf(*endpoint, artifact);
  const Duration load_time = m_chooser.LoadTime(tier, model.m_bytes);
  const Duration wait = tier == CheckpointTier::kRemote
                            ? EstimateStoreWait(ServiceOf(model.m_id))
                            : Duration{};
  if (wait > Duration{} && wait + load_time > patience) {
    return {.m_reason = RefusalReason::kTooSlow,
            .m_retry_after = wait + load_time};
  }
  const ReplicaKey key{.m_artifact = artifact, .m_endpoint = *endpoint};
  m_replicas.Add(key, {.m_step = ReplicaStep::kAddingToRecord,
                       .m_bytes = model.m_bytes,
                       .m_peak_bytes = model.m_peak_bytes,
                       .m_tier = tier,
                       .m_load_time = load_time,
                       .m_requested_at = now});
  FreeMemory(*endpoint, bytes, worth, now);
  MarkRecordsDirty(key);
  return {.m_key = key};
}

void Shard::AddAdapter(const CatalogModel& model,
                       const ReplicaKey& key,
                       MonotonicTime now) {
  const std::uint64_t bytes =
      model.m_adapters.at(key.m_artifact.m_adapter).m_bytes;
  const Replica* base = m_replicas.Find(
      {.m_artifact = BaseOf(model), .m_endpoint = key.m_endpoint});
  const bool base_ready =
      base != nullptr && base->m_step == ReplicaStep::kReady;
  const CheckpointTier tier = m_chooser.TierOf(key.m_endpoint, key.m_artifact);
  m_replicas.Add(key, {.m_step = base_ready ? ReplicaStep::kReserving
                                            : ReplicaStep::kAwaitingBase,
                       .m_bytes = bytes,
                       .m_peak_bytes = bytes,
                       .m_tier = tier,
                       .m_load_time = m_chooser.LoadTime(tier, bytes),
                       .m_requested_at = now});
  MarkRecordsDirty(key);
}

std::optional<EndpointId> Shard::EndpointWithBase(
    const CatalogModel& model) const {
  std::optional<EndpointId> best;
  bool best_ready = false;
  std::uint64_t best_free = 0;
  for (const ReplicaKey& key : m_replicas.KeysOfArtifact(BaseOf(model))) {
    const Replica& replica = *m_replicas.Find(key);
    const bool ready = replica.m_step == ReplicaStep::kReady;
    if ((!ready && !IsStarting(replica)) ||
        !m_chooser.IsUsable(key.m_endpoint)) {
      continue;
    }
    const std::uint64_t free = m_chooser.FreeBytes(key.m_endpoint);
    if (!best.has_value() ||
        std::make_pair(ready, free) > std::make_pair(best_ready, best_free)) {
      best = key.m_endpoint;
      best_ready = ready;
      best_free = free;
    }
  }
  return best;
}

void Shard::Refuse(const Demand& demand,
                   RefusalReason reason,
                   Duration retry_after) {
  m_effects.emplace_back(AnswerDemand{{.m_id = demand.m_id,
                                       .m_verdict = DemandVerdict::kRefused,
                                       .m_retry_after = retry_after,
                                       .m_reason = reason}});
}

void Shard::AnswerLoading(const Demand& demand,
                          const ReplicaKey& key,
                          MonotonicTime now) {
  const Duration ready_in = TimeUntilReady(key, *m_replicas.Find(key), now);
  m_effects.emplace_back(AnswerDemand{{.m_id = demand.m_id,
                                       .m_verdict = DemandVerdict::kLoading,
                                       .m_endpoint = key.m_endpoint,
                                       .m_ready_in = ready_in}});
}

void Shard::AnswerWaitingDemands(const ReplicaKey& key,
                                 Replica& replica,
                                 MonotonicTime now) {
  for (const Demand& demand : std::exchange(replica.m_waiting, {})) {
    AnswerLoading(demand, key, now);
  }
}

void Shard::RefuseWaitingDemands(Replica& replica, RefusalReason reason) {
  for (const Demand& demand : std::exchange(replica.m_waiting, {})) {
    Refuse(demand, reason, kRetryAfterFailure);
  }
}

Duration Shard::TimeUntilReady(const ReplicaKey& key,
                               const Replica& replica,
                               MonotonicTime now) const {
  if (replica.m_step == ReplicaStep::kReady) {
    return {};
  }
  if (replica.m_step == ReplicaStep::kLoading) {
    const Duration elapsed = now - replica.m_ordered_at;
    const Duration overdue = FromSeconds(kOverdueShare * ToSeconds(elapsed));
    return std::max(replica.m_load_time - elapsed,
                    elapsed > replica.m_load_time ? overdue : Duration{});
  }
  if (!key.m_artifact.m_adapter.empty()) {
    const CatalogModel* model = FindModel(key.m_artifact.m_model);
    const ReplicaKey base_key{
        .m_artifact = model != nullptr ? BaseOf(*model) : Artifact{},
        .m_endpoint = key.m_endpoint};
    const Replica* base = m_replicas.Find(base_key);
    return replica.m_load_time + (base != nullptr
                                      ? TimeUntilReady(base_key, *base, now)
                                      : Duration{});
  }
  const bool remote = replica.m_tier == CheckpointTier::kRemote;
  const Duration wait =
      remote ? EstimateStoreWait(ServiceOf(key.m_artifact.m_model))
             : Duration{};
  return replica.m_load_time + wait;
}

Duration Shard::EstimateStoreWait(const ServiceId& service) const {
  const auto store = m_stores.find(service);
  const StoreLimits limits = BudgetOf(service).m_store;
  const std::size_t slots = std::max(limits.m_loads_at_full_speed, 1U);
  if (store == m_stores.end() || store->second.value().m_slots.size() < slots) {
    return {};
  }
  Duration ahead{};
  for (const ReplicaKey& key : m_replicas.KeysInStep(ReplicaStep::kReserved)) {
    ahead += m_replicas.Find(key)->m_load_time;
  }
  for (const ReplicaKey& key : m_replicas.KeysInStep(ReplicaStep::kLoading)) {
    ahead += m_replicas.Find(key)->m_load_time / 2;
  }
  return ahead / static_cast<int>(slots);
}

std::uint32_t Shard::CountActiveReplicas(const ModelId& model) const {
  const std::vector<ReplicaKey> keys = m_replicas.KeysOfBaseModel(model);
  return static_cast<std::uint32_t>(
      std::count_if(keys.begin(), keys.end(), [this](const ReplicaKey& key) {
        return m_chooser.IsUsable(key.m_endpoint) &&
               m_replicas.Find(key)->m_step <= ReplicaStep::kReady;
      }));
}

const CatalogModel* Shard::FindModel(const ModelId& model) const {
  const auto found = m_catalog.find(model);
  return found == m_catalog.end() ? nullptr : &found->second;
}

bool Shard::IsAllowed(const Artifact& artifact) const {
  const CatalogModel* model = FindModel(artifact.m_model);
  if (model == nullptr) {
    return false;
  }
  if (artifact.m_adapter.empty()) {
    return model->m_version == artifact.m_version;
  }
  const auto adapter = model->m_adapters.find(artifact.m_adapter);
  return adapter != model->m_adapters.end() &&
         adapter->second.m_version == artifact.m_version;
}

LoadBudget Shard::BudgetOf(const ServiceId& service) const {
  const auto found = m_budgets.find(service);
  return found == m_budgets.end() ? LoadBudget{} : found->second;
}

StoreSlots& Shard::SlotsOf(const ServiceId& service) {
  return m_slots.try_emplace(service, m_settings.m_scope, m_fence)
      .first->second;
}

const EndpointLedger* Shard::LedgerOf(const EndpointId& endpoint) const {
  const auto found = m_ledgers.find(endpoint);
  if (found != m_ledgers.end()) {
    return &found->second.value();
  }
  static const EndpointLedger kEmpty;
  return m_recovered ? &kEmpty : nullptr;
}

Effects Shard::CollectEffects(MonotonicTime now) {
  ProcessPending(now);
  return std::exchange(m_effects, {});
}

}  // namespace hickoryloft::placement
