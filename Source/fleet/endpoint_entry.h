// The registration of an endpoint.

#ifndef SOURCE_FLEET_ENDPOINT_ENTRY_H_
#define SOURCE_FLEET_ENDPOINT_ENTRY_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::fleet {

enum class EndpointState { kReady, kDraining };

// How far a failure domain has been emptied on an operator's request.
enum class Evacuation {
  kNone,
  kEmptying,   // Gets no new models, and requests only as a last resort.
  kEvacuated,  // Gets nothing.
};

// Where the weights of a model can be loaded from, fastest first.
enum class WeightTier { kHostMemory, kDisk, kStore };

constexpr const char* ToText(WeightTier tier) {
  constexpr std::array<const char*, 3> kNames = {"host_memory", "disk",
                                                 "weight_store"};
  return kNames.at(static_cast<std::size_t>(tier));
}

// One endpoint, as described by its last registration.
struct EndpointEntry {
  EndpointId m_id;
  ServiceId m_service;
  std::string m_address;  // IP number.
  std::uint16_t m_port = 0;
  FailureDomainId m_failure_domain;
  EndpointState m_state = EndpointState::kReady;
  int m_slots = 1;
  // Unix time of the endpoint's start. A change means that it restarted under
  // the same id and lost its state.
  std::int64_t m_started_at_ms = 0;
  // Sequence number of the registration since the endpoint's start. A
  // registration that arrives out of order has a smaller number than the
  // current one.
  std::int64_t m_number = 0;
  // Time until the endpoint is withdrawn; set if that is at short notice.
  std::optional<Duration> m_remaining;
  // Loaded models, each with its loaded adapters.
  std::unordered_map<ModelId, std::unordered_set<AdapterId>> m_models;
  std::unordered_set<ModelId> m_in_memory;
  std::unordered_set<ModelId> m_on_disk;
  bool m_busy = false;
  // The endpoint announced in an answer that it is leaving. Its registration
  // may show this later or never.
  bool m_announced_leaving = false;
  // Of the endpoint's failure domain.
  Evacuation m_evacuation = Evacuation::kNone;
  // For how long the endpoint stays cold, as of its registration; nothing if
  // that does not tell.
  std::optional<Duration> m_cold_for;
  // The endpoint has said that it is cold until then.
  MonotonicTime m_cold_until;
  // The endpoint is taken for cold until then, since its failure domain has
  // been taken back.
  MonotonicTime m_returning_until;

  bool IsLeaving() const {
    return m_state == EndpointState::kDraining || m_announced_leaving;
  }

  // Returns whether requests may be sent to the endpoint.
  bool AcceptsRequests() const {
    return !IsLeaving() && m_evacuation != Evacuation::kEvacuated;
  }

  // Returns whether the endpoint may be ordered to load models.
  bool AcceptsModels() const {
    return !IsLeaving() && !m_remaining && m_evacuation == Evacuation::kNone;
  }

  // Returns whether the endpoint has started or returned so recently that it
  // takes only a few requests a second.
  bool IsCold(MonotonicTime now) const {
    return now < std::max(m_cold_until, m_returning_until);
  }

  // Returns the fastest tier from which the endpoint can load `model`.
  WeightTier TierOf(const ModelId& model) const {
    if (m_in_memory.contains(model)) {
      return WeightTier::kHostMemory;
    }
    return m_on_disk.contains(model) ? WeightTier::kDisk : WeightTier::kStore;
  }
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_ENDPOINT_ENTRY_H_
