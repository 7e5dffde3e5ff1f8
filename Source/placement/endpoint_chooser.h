// The engines known to a placement shard, and the choice of one for a new
// replica.

#ifndef SOURCE_PLACEMENT_ENDPOINT_CHOOSER_H_
#define SOURCE_PLACEMENT_ENDPOINT_CHOOSER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "placement/endpoint_ledger.h"
#include "placement/endpoint_policy.h"
#include "placement/load_time_estimator.h"
#include "placement/replica_table.h"
#include "placement/types.h"

namespace hickoryloft::placement {

// A replica to be placed.
struct PlacementQuery {
  Artifact m_artifact;
  std::uint64_t m_bytes = 0;       // Memory that must be free.
  std::uint64_t m_load_bytes = 0;  // Size of the data to read.
};

// Not thread-safe.
class EndpointChooser {
 public:
  using LedgerFunction =
      std::function<const EndpointLedger*(const EndpointId&)>;
  // Returns the bytes that may be evicted from an engine for the query.
  using EvictableBytesFunction =
      std::function<std::uint64_t(const EndpointId&)>;

  // `policy`, `replicas` and the ledgers that `ledger_of` returns must outlive
  // this object.
  EndpointChooser(const EndpointPolicy& policy,
                  const ReplicaTable& replicas,
                  LedgerFunction ledger_of);

  void Update(const EndpointView& view);
  void Remove(const EndpointId& endpoint);
  // Recalculates the free memory of one or all engines from their ledgers.
  void Refresh(const EndpointId& endpoint);
  void RefreshAll();
  const EndpointView* Find(const EndpointId& endpoint) const;

  // Returns whether the engine is reachable and not leaving.
  bool IsUsable(const EndpointId& endpoint) const;
  // Returns the memory that is not reserved in the ledger; 0 if it is unknown.
  std::uint64_t FreeBytes(const EndpointId& endpoint) const;
  CheckpointTier TierOf(const EndpointId& endpoint,
                        const Artifact& artifact) const;
  Duration LoadTime(CheckpointTier tier, std::uint64_t bytes) const {
    return m_load_times.Estimate(tier, bytes);
  }
  LoadTimeEstimator& load_times() { return m_load_times; }

  // Returns the engine for a new replica, or none if no engine has enough
  // memory even after eviction.
  std::optional<EndpointId> Choose(
      const PlacementQuery& query,
      const EvictableBytesFunction& evictable) const;

 private:
  // The state of one engine.
  struct EngineEntry {
    EndpointView m_view;
    std::uint64_t m_free_bytes = 0;
    std::uint32_t m_loads_in_progress = 0;
  };
  using Domains = std::map<FailureDomainId, std::uint32_t>;

  void AddToIndexes(const EndpointId& endpoint, const EngineEntry& engine);
  void RemoveFromIndexes(const EndpointId& endpoint, const EngineEntry& engine);
  // Returns a limited number of candidates: engines that have the checkpoint
  // cached, engines with the least sufficient free memory, and engines with the
  // most free memory.
  std::set<EndpointId> Shortlist(const PlacementQuery& query) const;
  std::set<EndpointId> AllEngines() const;
  std::vector<EndpointOption> OptionsFor(
      const PlacementQuery& query,
      const std::set<EndpointId>& among,
      const EvictableBytesFunction& evictable) const;
  Domains DomainsOf(const std::vector<ReplicaKey>& replicas) const;

  const EndpointPolicy& m_policy;
  const ReplicaTable& m_replicas;
  LedgerFunction m_ledger_of;
  std::map<EndpointId, EngineEntry> m_engines;
  std::set<std::pair<std::uint64_t, EndpointId>> m_by_free_bytes;
  std::map<Artifact, std::set<EndpointId>> m_by_checkpoint;
  LoadTimeEstimator m_load_times;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_ENDPOINT_CHOOSER_H_
