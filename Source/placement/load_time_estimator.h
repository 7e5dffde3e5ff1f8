// Load times by checkpoint tier, learned from finished loads.

#ifndef SOURCE_PLACEMENT_LOAD_TIME_ESTIMATOR_H_
#define SOURCE_PLACEMENT_LOAD_TIME_ESTIMATOR_H_

#include <array>
#include <cstdint>
#include <map>

#include "base/time.h"
#include "placement/types.h"

namespace hickoryloft::placement {

// Estimates the time of a load from its tier and size. A prior serves until
// loads have been observed. Not thread-safe.
class LoadTimeEstimator {
 public:
  // Returns the expected time of a load of `bytes` from `tier`.
  Duration Estimate(CheckpointTier tier, std::uint64_t bytes) const;

  // Learns from a load that took `duration`. Precondition: the load met no
  // queue of this system.
  void Record(CheckpointTier tier, std::uint64_t bytes, Duration duration);

 private:
  // Observed over prior time, by tier, as a moving average.
  std::array<double, 3> m_ratio = {1, 1, 1};
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_LOAD_TIME_ESTIMATOR_H_
