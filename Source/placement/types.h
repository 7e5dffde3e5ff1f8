// The inputs and results of placement decisions.

#ifndef SOURCE_PLACEMENT_TYPES_H_
#define SOURCE_PLACEMENT_TYPES_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "base/ids.h"
#include "base/time.h"
#include "endpoint/orders.h"

namespace hickoryloft::placement {

using endpoint::Artifact;
using endpoint::ArtifactPhase;
using endpoint::CheckpointTier;

// An adapter that the document allows.
struct CatalogAdapter {
  std::string m_version;
  std::uint64_t m_bytes = 0;
};

// A model that the document allows. Its id is qualified by the service.
struct CatalogModel {
  ModelId m_id;
  std::string m_version;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_peak_bytes = 0;
  std::uint32_t m_max_replicas = 1;
  std::uint32_t m_min_replicas = 0;
  std::map<AdapterId, CatalogAdapter> m_adapters;
};

using Catalog = std::map<ModelId, CatalogModel>;

// The last reported state of an engine, which may be out of date.
struct EndpointView {
  EndpointId m_id;
  FailureDomainId m_failure_domain;
  bool m_leaving = false;
  bool m_reachable = true;
  bool m_checks_fencing = false;  // False while unknown.
  std::uint64_t m_memory_bytes = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_running = 0;
  std::map<Artifact, CheckpointTier> m_tiers;  // kRemote if absent.
};

// One copy of an artifact on one engine. Ordered by artifact first.
struct ReplicaKey {
  Artifact m_artifact;
  EndpointId m_endpoint;

  friend bool operator==(const ReplicaKey&, const ReplicaKey&) = default;
  friend bool operator<(const ReplicaKey& left, const ReplicaKey& right) {
    return std::tie(left.m_artifact, left.m_endpoint) <
           std::tie(right.m_artifact, right.m_endpoint);
  }
};

using DemandId = std::uint64_t;

// A request for a replica on behalf of callers that wait for `m_patience`.
struct Demand {
  DemandId m_id = 0;
  ModelId m_model;
  AdapterId m_adapter;
  Duration m_patience{};
  std::uint32_t m_requests = 1;
  MonotonicTime m_deadline{};    // Set by the shard.
  std::uint32_t m_attempts = 0;  // Engines tried that lacked memory.
};

enum class DemandVerdict { kReady, kLoading, kRefused };

enum class RefusalReason {
  kNone,
  kUnknownModel,      // The document does not allow the artifact.
  kNoCapacity,        // No engine has enough memory now.
  kTooSlow,           // Loading takes longer than the caller's patience.
  kStoreUnavailable,  // A record could not be read or written.
  kNotReady,          // The claim holder is still recovering its state.
};

// Returns the stable lower-case name of `reason`. Thread-safe.
std::string ToString(RefusalReason reason);

struct DemandAnswer {
  DemandId m_id = 0;
  DemandVerdict m_verdict = DemandVerdict::kRefused;
  EndpointId m_endpoint;
  Duration m_ready_in{};
  Duration m_retry_after{};
  RefusalReason m_reason = RefusalReason::kNone;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_TYPES_H_
