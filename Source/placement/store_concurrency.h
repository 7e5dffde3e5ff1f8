// Estimates how many concurrent loads the weight store serves at full speed
// from the duration of loads.

#ifndef SOURCE_PLACEMENT_STORE_CONCURRENCY_H_
#define SOURCE_PLACEMENT_STORE_CONCURRENCY_H_

#include "base/time.h"

namespace hickoryloft::placement {

// The limit increases additively while loads take their nominal time; when they
// take longer, it is reduced to the concurrency that the store has served. More
// concurrent loads gain nothing: each takes proportionally longer. Not
// thread-safe.
class StoreConcurrency {
 public:
  // Initial limit, between what the smallest and the usual weight stores serve.
  static constexpr int kInitialLimit = 4;
  // Each load occupies an engine, so the limit stays bounded.
  static constexpr int kMaxLimit = 16;
  // A load that takes at most this multiple of its nominal time was served at
  // full speed; the excess is the delay until its completion is observed.
  static constexpr double kFullSpeedRatio = 1.15;
  // From this multiple of the nominal time on, more loads ran than the store
  // serves at full speed.
  static constexpr double kSharedRatio = 1.3;

  // Maximum number of concurrent loads.
  int limit() const { return m_limit; }

  // Records a completed load that ran concurrently with others: `at_once`
  // loads, including itself. Precondition: `nominal` is positive.
  void RecordLoad(Duration took, Duration nominal, int at_once);

 private:
  int m_limit = kInitialLimit;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_STORE_CONCURRENCY_H_
