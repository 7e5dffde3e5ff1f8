#include "placement/replica_table.h"

#include <utility>

namespace hickoryloft::placement {

Replica& ReplicaTable::Add(const ReplicaKey& key, Replica replica) {
  m_by_endpoint[key.m_endpoint].insert(key);
  m_by_step[replica.m_step].insert(key);
  return m_replicas.insert_or_assign(key, std::move(replica)).first->second;
}

void ReplicaTable::Erase(const ReplicaKey& key) {
  const auto found = m_replicas.find(key);
  if (found == m_replicas.end()) {
    return;
  }
  m_by_step[found->second.m_step].erase(key);
  m_by_endpoint[key.m_endpoint].erase(key);
  m_replicas.erase(found);
}

Replica* ReplicaTable::Find(const ReplicaKey& key) {
  const auto found = m_replicas.find(key);
  return found == m_replicas.end() ? nullptr : &found->second;
}

const Replica* ReplicaTable::Find(const ReplicaKey& key) const {
  const auto found = m_replicas.find(key);
  return found == m_replicas.end() ? nullptr : &found->second;
}

void ReplicaTable::SetStep(const ReplicaKey& key,
                           Replica& replica,
                           ReplicaStep step) {
  m_by_step[replica.m_step].erase(key);
  replica.m_step = step;
  m_by_step[step].insert(key);
}

std::vector<ReplicaKey> ReplicaTable::KeysOnEndpoint(
    const EndpointId& endpoint) const {
  const auto found = m_by_endpoint.find(endpoint);
  if (found == m_by_endpoint.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

template <typename Matches>
std::vector<ReplicaKey> ReplicaTable::CollectKeys(const ReplicaKey& first,
                                                  Matches matches) const {
  std::vector<ReplicaKey> keys;
  for (auto at = m_replicas.lower_bound(first);
       at != m_replicas.end() && matches(at->first); ++at) {
    keys.push_back(at->first);
  }
  return keys;
}

std::vector<ReplicaKey> ReplicaTable::KeysOfArtifact(
    const Artifact& artifact) const {
  return CollectKeys({.m_artifact = artifact},
                     [&artifact](const ReplicaKey& key) {
                       return key.m_artifact == artifact;
                     });
}

std::vector<ReplicaKey> ReplicaTable::KeysOfBaseModel(
    const ModelId& model) const {
  const Artifact first{.m_model = model};
  return CollectKeys({.m_artifact = first}, [&model](const ReplicaKey& key) {
    return key.m_artifact.m_model == model && key.m_artifact.m_adapter.empty();
  });
}

const std::set<ReplicaKey>& ReplicaTable::KeysInStep(ReplicaStep step) const {
  static const std::set<ReplicaKey> kNone;
  const auto found = m_by_step.find(step);
  return found == m_by_step.end() ? kNone : found->second;
}

}  // namespace hickoryloft::placement
