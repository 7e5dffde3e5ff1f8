// What a placement shard knows of the engines, and its choice among them.

#ifndef SOURCE_PLACEMENT_ENDPOINT_CHOOSER_H_
#define SOURCE_PLACEMENT_ENDPOINT_CHOOSER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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
  std::uint64_t m_bytes = 0;       // That must be free.
  std::uint64_t m_load_bytes = 0;  // That are read.
};

// Not thread-safe.
class EndpointChooser {
 public:
  using LedgerOf = std::function<const EndpointLedger*(const EndpointId&)>;
  // Returns the bytes on an engine that may be evicted for the query.
  using EvictableOf = std::function<std::uint64_t(const EndpointId&)>;

  // `policy`, `replicas` and what `ledger_of` returns must outlive this.
  EndpointChooser(const EndpointPolicy& policy,
                  const ReplicaTable& replicas,
                  LedgerOf ledger_of);

  void Update(const EndpointView& view) { m_views[view.m_id] = view; }
  void Remove(const EndpointId& endpoint) { m_views.erase(endpoint); }
  const EndpointView* Find(const EndpointId& endpoint) const;
  const std::map<EndpointId, EndpointView>& views() const { return m_views; }

  // Returns whether the engine may get new work.
  bool Usable(const EndpointId& endpoint) const;
  // Returns the bytes that no ledger entry claims; 0 if they are unknown.
  std::uint64_t FreeBytes(const EndpointId& endpoint) const;
  CheckpointTier TierOf(const EndpointId& endpoint,
                        const Artifact& artifact) const;
  Duration LoadTime(CheckpointTier tier, std::uint64_t bytes) const {
    return m_load_times.Estimate(tier, bytes);
  }
  LoadTimeEstimator& load_times() { return m_load_times; }

  // Returns the engine for a new replica, or none if there is no room even
  // after eviction.
  std::optional<EndpointId> Choose(const PlacementQuery& query,
                                   const EvictableOf& evictable) const;

 private:
  std::vector<EndpointOption> OptionsFor(const PlacementQuery& query,
                                         const EvictableOf& evictable) const;
  std::uint32_t LoadsInProgress(const EndpointId& endpoint) const;
  std::map<FailureDomainId, std::uint32_t> Domains(
      const std::vector<ReplicaKey>& replicas) const;

  const EndpointPolicy& m_policy;
  const ReplicaTable& m_replicas;
  LedgerOf m_ledger_of;
  std::map<EndpointId, EndpointView> m_views;
  LoadTimeEstimator m_load_times;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_ENDPOINT_CHOOSER_H_
