#include "placement/endpoint_chooser.h"

#include <algorithm>

namespace hickoryloft::placement {
namespace {

// Maximum number of engines on a shortlist per criterion.
constexpr std::size_t kMaxPerCriterion = 16;

std::uint32_t CountLoads(const EndpointLedger& ledger) {
  return static_cast<std::uint32_t>(std::count_if(
      ledger.m_reservations.begin(), ledger.m_reservations.end(),
      [](const auto& item) {
        return item.first.m_adapter.empty() && item.second.m_counts_peak;
      }));
}

}  // namespace

EndpointChooser::EndpointChooser(const EndpointPolicy& policy,
                                 const ReplicaTable& replicas,
                                 LedgerFunction ledger_of)
    : m_policy(policy),
      m_replicas(replicas),
      m_ledger_of(std::move(ledger_of)) {}

void EndpointChooser::AddToIndexes(const EndpointId& endpoint,
                                   const EngineEntry& engine) {
  m_by_free_bytes.emplace(engine.m_free_bytes, endpoint);
  for (const auto& [artifact, tier] : engine.m_view.m_tiers) {
    m_by_checkpoint[artifact].insert(endpoint);
  }
}

void EndpointChooser::RemoveFromIndexes(const EndpointId& endpoint,
                                        const EngineEntry& engine) {
  m_by_free_bytes.erase({engine.m_free_bytes, endpoint});
  for (const auto& [artifact, tier] : engine.m_view.m_tiers) {
    m_by_checkpoint[artifact].erase(endpoint);
  }
}

void EndpointChooser::Update(const EndpointView& view) {
  EngineEntry& engine = m_engines[view.m_id];
  RemoveFromIndexes(view.m_id, engine);
  engine.m_view = view;
  AddToIndexes(view.m_id, engine);
  Refresh(view.m_id);
}

void EndpointChooser::Remove(const EndpointId& endpoint) {
  const auto found = m_engines.find(endpoint);
  if (found != m_engines.end()) {
    RemoveFromIndexes(endpoint, found->second);
    m_engines.erase(found);
  }
}

void EndpointChooser::Refresh(const EndpointId& endpoint) {
  const auto found = m_engines.find(endpoint);
  if (found == m_engines.end()) {
    return;
  }
  EngineEntry& engine = found->second;
  const EndpointLedger* ledger = m_ledger_of(endpoint);
  const std::uint64_t memory = engine.m_view.m_memory_bytes;
  const std::uint64_t used = ledger == nullptr ? memory : ledger->UsedBytes();
  m_by_free_bytes.erase({engine.m_free_bytes, endpoint});
  engine.m_free_bytes = memory > used ? memory - used : 0;
  engine.m_loads_in_progress = ledger == nullptr ? 0 : CountLoads(*ledger);
  m_by_free_bytes.emplace(engine.m_free_bytes, endpoint);
}

void EndpointChooser::RefreshAll() {
  for (const auto& [endpoint, engine] : m_engines) {
    Refresh(endpoint);
  }
}

const EndpointView* EndpointChooser::Find(const EndpointId& endpoint) const {
  const auto found = m_engines.find(endpoint);
  return found == m_engines.end() ? nullptr : &found->second.m_view;
}

bool EndpointChooser::IsUsable(const EndpointId& endpoint) const {
  const EndpointView* view = Find(endpoint);
  return view != nullptr && view->m_reachable && !view->m_leaving;
}

std::uint64_t EndpointChooser::FreeBytes(const EndpointId& endpoint) const {
  const auto found = m_engines.find(endpoint);
  return found == m_engines.end() ? 0 : found->second.m_free_bytes;
}

CheckpointTier EndpointChooser::TierOf(const EndpointId& endpoint,
                                       const Artifact& artifact) const {
  const EndpointView* view = Find(endpoint);
  if (view == nullptr) {
    return CheckpointTier::kRemote;
  }
  const auto found = view->m_tiers.find(artifact);
  return found == view->m_tiers.end() ? CheckpointTier::kRemote : found->second;
}

EndpointChooser::Domains EndpointChooser::DomainsOf(
    const std::vector<ReplicaKey>& replicas) const {
  Domains domains;
  for (const ReplicaKey& replica : replicas) {
    if (const EndpointView* view = Find(replica.m_endpoint)) {
      ++domains[view->m_failure_domain];
    }
  }
  return domains;
}

std::set<EndpointId> EndpointChooser::Shortlist(
    const PlacementQuery& query) const {
  std::set<EndpointId> list;
  const auto cached_on = m_by_checkpoint.find(query.m_artifact);
  if (cached_on != m_by_checkpoint.end()) {
    const auto count = static_cast<std::ptrdiff_t>(
        std::min(kMaxPerCriterion, cached_on->second.size()));
    list.insert(cached_on->second.begin(),
                std::next(cached_on->second.begin(), count));
  }
  const auto first = m_by_free_bytes.lower_bound({query.m_bytes, EndpointId()});
  std::size_t taken = 0;
  for (auto at = first; at != m_by_free_bytes.end() && taken < kMaxPerCriterion;
       ++at, ++taken) {
    list.insert(at->second);
  }
  taken = 0;
  for (auto at = m_by_free_bytes.end(); at != first && taken < kMaxPerCriterion;
       ++taken) {
    list.insert((--at)->second);
  }
  return list;
}

std::set<EndpointId> EndpointChooser::AllEngines() const {
  std::set<EndpointId> all;
  for (const auto& [endpoint, engine] : m_engines) {
    all.insert(all.end(), endpoint);
  }
  return all;
}

std::vector<EndpointOption> EndpointChooser::OptionsFor(
    const PlacementQuery& query,
    const std::set<EndpointId>& among,
    const EvictableBytesFunction& evictable) const {
  const std::vector<ReplicaKey> replicas =
      m_replicas.KeysOfBaseModel(query.m_artifact.m_model);
  std::set<EndpointId> taken;
  for (const ReplicaKey& replica : replicas) {
    taken.insert(replica.m_endpoint);
  }
  Domains domains = DomainsOf(replicas);
  std::vector<EndpointOption> options;
  for (const EndpointId& id : among) {
    const EngineEntry& engine = m_engines.at(id);
    if (taken.count(id) > 0 || !IsUsable(id)) {
      continue;
    }
    const std::uint64_t room =
        engine.m_free_bytes + (evictable ? evictable(id) : 0);
    if (room < query.m_bytes) {
      continue;
    }
    options.push_back(
        {.m_view = &engine.m_view,
         .m_free_bytes = engine.m_free_bytes,
         .m_load_time =
             LoadTime(TierOf(id, query.m_artifact), query.m_load_bytes),
         .m_loads_in_progress = engine.m_loads_in_progress,
         .m_replicas_in_domain = domains[engine.m_view.m_failure_domain]});
  }
  return options;
}

std::optional<EndpointId> EndpointChooser::Choose(
    const PlacementQuery& query,
    const EvictableBytesFunction& evictable) const {
  std::vector<EndpointOption> options =
      OptionsFor(query, Shortlist(query), nullptr);
  if (options.empty() && evictable) {
    options = OptionsFor(query, AllEngines(), evictable);
  }
  const std::optional<std::size_t> best = m_policy.Choose(options);
  if (!best.has_value()) {
    return std::nullopt;
  }
  return options[*best].m_view->m_id;
}

}  // namespace hickoryloft::placement
