// What an endpoint says of itself.

#ifndef SOURCE_FLEET_ENDPOINT_ENTRY_H_
#define SOURCE_FLEET_ENDPOINT_ENTRY_H_

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

// Where the weights of a model can be loaded from, fastest first.
enum class WeightTier { kHostMemory, kDisk, kStore };

constexpr const char* ToText(WeightTier tier) {
  constexpr std::array<const char*, 3> kNames = {"host_memory", "disk",
                                                 "weight_store"};
  return kNames.at(static_cast<std::size_t>(tier));
}

// One endpoint, as its last registration describes it.
struct EndpointEntry {
  EndpointId m_id;
  ServiceId m_service;
  std::string m_address;  // IP number.
  std::uint16_t m_port = 0;
  FailureDomainId m_failure_domain;
  EndpointState m_state = EndpointState::kReady;
  int m_slots = 1;
  // Unix time of the endpoint's start; a change means that it started again
  // under its id and knows nothing of before.
  std::int64_t m_started_at_ms = 0;
  // Counts the endpoint's registrations since its start; one that arrives late
  // has a smaller number than one before it.
  std::int64_t m_number = 0;
  // Set for an endpoint that is taken away at short notice.
  std::optional<Duration> m_remaining;
  // Models that are loaded, with the adapters that were present then.
  std::unordered_map<ModelId, std::unordered_set<AdapterId>> m_models;
  std::unordered_set<ModelId> m_in_memory;
  std::unordered_set<ModelId> m_on_disk;
  bool m_busy = false;
  // The endpoint has said in an answer that it will go; its registration may
  // not say so yet, or never.
  bool m_said_leaving = false;

  // Whether requests may be sent to it.
  bool TakesRequests() const {
    return m_state == EndpointState::kReady && !m_said_leaving;
  }

  // Returns from where `model` would be loaded.
  WeightTier TierOf(const ModelId& model) const {
    if (m_in_memory.contains(model)) {
      return WeightTier::kHostMemory;
    }
    return m_on_disk.contains(model) ? WeightTier::kDisk : WeightTier::kStore;
  }
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_ENDPOINT_ENTRY_H_
