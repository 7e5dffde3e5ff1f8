// Policies that choose the engine for a new replica.

#ifndef SOURCE_PLACEMENT_ENDPOINT_POLICY_H_
#define SOURCE_PLACEMENT_ENDPOINT_POLICY_H_

#include <cstdint>
#include <optional>
#include <span>

#include "base/time.h"
#include "placement/types.h"

namespace hickoryloft::placement {

// An engine with enough memory for the replica.
struct EndpointOption {
  const EndpointView* m_view = nullptr;
  std::uint64_t m_free_bytes = 0;
  Duration m_load_time{};
  std::uint32_t m_loads_in_progress = 0;
  // Replicas of the model in the engine's failure domain.
  std::uint32_t m_replicas_in_domain = 0;
};

// Thread-safe.
class EndpointPolicy {
 public:
  virtual ~EndpointPolicy() = default;

  // Returns the index of the chosen option, or none if `options` is empty.
  virtual std::optional<std::size_t> Choose(
      std::span<const EndpointOption> options) const = 0;
};

// Chooses the engine with the lowest sum of the expected load time, a cost per
// request in progress and a cost per replica of the model in the same failure
// domain.
class TierAwarePolicy : public EndpointPolicy {
 public:
  std::optional<std::size_t> Choose(
      std::span<const EndpointOption> options) const override;
};

// Baseline: chooses the engine with the fewest requests; on a tie, the one with
// the most free memory.
class LeastLoadedPolicy : public EndpointPolicy {
 public:
  std::optional<std::size_t> Choose(
      std::span<const EndpointOption> options) const override;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_ENDPOINT_POLICY_H_
