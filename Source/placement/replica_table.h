// The replicas of one placement shard, indexed by artifact, engine and step.

#ifndef SOURCE_PLACEMENT_REPLICA_TABLE_H_
#define SOURCE_PLACEMENT_REPLICA_TABLE_H_

#include <map>
#include <set>
#include <vector>

#include "placement/replica.h"

namespace hickoryloft::placement {

// Not thread-safe. References to replicas are valid until Erase().
class ReplicaTable {
 public:
  using Map = std::map<ReplicaKey, Replica>;

  // Adds a replica. Precondition: the key is not in the table.
  Replica& Add(const ReplicaKey& key, Replica replica);
  void Erase(const ReplicaKey& key);
  Replica* Find(const ReplicaKey& key);
  const Replica* Find(const ReplicaKey& key) const;
  // Sets the replica's step and updates the index.
  void SetStep(const ReplicaKey& key, Replica& replica, ReplicaStep step);

  // Returns the keys of all replicas on an engine, or those of one artifact, or
  // those of a model without adapters in any version.
  std::vector<ReplicaKey> KeysOnEndpoint(const EndpointId& endpoint) const;
  std::vector<ReplicaKey> KeysOfArtifact(const Artifact& artifact) const;
  std::vector<ReplicaKey> KeysOfBaseModel(const ModelId& model) const;
  // Returns the keys of all replicas in a step.
  const std::set<ReplicaKey>& KeysInStep(ReplicaStep step) const;

  const Map& all() const { return m_replicas; }

 private:
  template <typename Matches>
  std::vector<ReplicaKey> CollectKeys(const ReplicaKey& first,
                                      Matches matches) const;

  Map m_replicas;
  std::map<EndpointId, std::set<ReplicaKey>> m_by_endpoint;
  std::map<ReplicaStep, std::set<ReplicaKey>> m_by_step;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_REPLICA_TABLE_H_
