// Estimates load times by checkpoint tier from finished loads.

#ifndef SOURCE_PLACEMENT_LOAD_TIME_ESTIMATOR_H_
#define SOURCE_PLACEMENT_LOAD_TIME_ESTIMATOR_H_

#include <array>
#include <cstdint>
#include <map>

#include "base/time.h"
#include "placement/types.h"

namespace hickoryloft::placement {

// Estimates the duration of a load from its tier and size. Starts from built-in
// rates and corrects them with the durations of finished loads. Not
// thread-safe.
class LoadTimeEstimator {
 public:
  // Returns the expected duration of a load of `bytes` from `tier`.
  Duration Estimate(CheckpointTier tier, std::uint64_t bytes) const;

  // Updates the estimate with a load that took `duration`. Precondition: the
  // duration includes no waiting in a queue of this system.
  void Record(CheckpointTier tier, std::uint64_t bytes, Duration duration);

 private:
  // Moving average, by tier, of the observed duration divided by the duration
  // at the built-in rate.
  std::array<double, 3> m_ratio = {1, 1, 1};
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_LOAD_TIME_ESTIMATOR_H_
