#include "placement/endpoint_chooser.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hickoryloft::placement {

EndpointChooser::EndpointChooser(const EndpointPolicy& policy,
                                 const ReplicaTable& replicas,
                                 LedgerOf ledger_of)
    : m_policy(policy),
      m_replicas(replicas),
      m_ledger_of(std::move(ledger_of)) {}

const EndpointView* EndpointChooser::Find(const EndpointId& endpoint) const {
  const auto found = m_views.find(endpoint);
  return found == m_views.end() ? nullptr : &found->second;
}

bool EndpointChooser::Usable(const EndpointId& endpoint) const {
  const EndpointView* view = Find(endpoint);
  return view != nullptr && view->m_reachable && !view->m_leaving;
}

std::uint64_t EndpointChooser::FreeBytes(const EndpointId& endpoint) const {
  const EndpointView* view = Find(endpoint);
  const EndpointLedger* ledger = m_ledger_of(endpoint);
  if (view == nullptr || ledger == nullptr) {
    return 0;
  }
  const std::uint64_t used = ledger->UsedBytes();
  return view->m_memory_bytes > used ? view->m_memory_bytes - used : 0;
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

std::uint32_t EndpointChooser::LoadsInProgress(
    const EndpointId& endpoint) const {
  const EndpointLedger* ledger = m_ledger_of(endpoint);
  if (ledger == nullptr) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::count_if(
      ledger->m_reservations.begin(), ledger->m_reservations.end(),
      [](const auto& item) {
        return item.first.m_adapter.empty() && item.second.m_peaks;
      }));
}

std::map<FailureDomainId, std::uint32_t> EndpointChooser::Domains(
    const std::vector<ReplicaKey>& replicas) const {
  std::map<FailureDomainId, std::uint32_t> domains;
  for (const ReplicaKey& replica : replicas) {
    if (const EndpointView* view = Find(replica.m_endpoint)) {
      ++domains[view->m_failure_domain];
    }
  }
  return domains;
}

std::vector<EndpointOption> EndpointChooser::OptionsFor(
    const PlacementQuery& query,
    const EvictableOf& evictable) const {
  const std::vector<ReplicaKey> replicas =
      m_replicas.OfBase(query.m_artifact.m_model);
  std::set<EndpointId> taken;
  for (const ReplicaKey& replica : replicas) {
    taken.insert(replica.m_endpoint);
  }
  std::map<FailureDomainId, std::uint32_t> domains = Domains(replicas);
  std::vector<EndpointOption> options;
  for (const auto& [id, view] : m_views) {
    if (!Usable(id) || taken.count(id) > 0) {
      continue;
    }
    const std::uint64_t free = FreeBytes(id);
    const std::uint64_t room = free + (evictable ? evictable(id) : 0);
    if (room < query.m_bytes) {
      continue;
    }
    options.push_back({.m_view = &view,
                       .m_free_bytes = free,
                       .m_load_time = LoadTime(TierOf(id, query.m_artifact),
                                               query.m_load_bytes),
                       .m_loads_in_progress = LoadsInProgress(id),
                       .m_replicas_in_domain = domains[view.m_failure_domain]});
  }
  return options;
}

std::optional<EndpointId> EndpointChooser::Choose(
    const PlacementQuery& query,
    const EvictableOf& evictable) const {
  std::vector<EndpointOption> options = OptionsFor(query, nullptr);
  if (options.empty() && evictable) {
    options = OptionsFor(query, evictable);
  }
  const std::optional<std::size_t> best = m_policy.Choose(options);
  if (!best.has_value()) {
    return std::nullopt;
  }
  return options[*best].m_view->m_id;
}

}  // namespace hickoryloft::placement
