// A histogram of the times between uses of one artifact.

#ifndef SOURCE_PLACEMENT_IDLE_HISTOGRAM_H_
#define SOURCE_PLACEMENT_IDLE_HISTOGRAM_H_

#include <array>
#include <cstdint>

#include "base/time.h"

namespace hickoryloft::placement {

// Counts idle times in buckets of exponentially growing width, and decays old
// counts. Value type; not thread-safe.
class IdleHistogram {
 public:
  void Record(Duration idle);

  // Returns the probability per second that the next use comes within `window`,
  // given that the artifact has been idle for `idle`.
  double ReturnRate(Duration idle, Duration window) const;

  double total() const { return m_total; }

 private:
  static constexpr std::size_t kBucketCount = 40;

  static double UpperBound(std::size_t bucket);
  static std::size_t BucketOf(double seconds);
  // Returns the total weight of the idle times above `seconds`.
  double WeightAbove(double seconds) const;

  std::array<float, kBucketCount> m_weights{};
  double m_total = 0;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_IDLE_HISTOGRAM_H_
