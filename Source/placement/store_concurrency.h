// How many loads the weight store serves at full speed, learned from the time
// that loads take.

#ifndef SOURCE_PLACEMENT_STORE_CONCURRENCY_H_
#define SOURCE_PLACEMENT_STORE_CONCURRENCY_H_

#include "base/time.h"

namespace hickoryloft::placement {

// Additive increase while loads take their nominal time; when they take longer,
// back to what the store has shown to serve. More loads at once than that gain
// nothing: each takes longer in proportion. Not thread-safe.
class StoreConcurrency {
 public:
  // Between the smallest and the usual weight stores.
  static constexpr int kFirstLimit = 4;
  // Each load occupies an engine, so the limit stays bounded.
  static constexpr int kMostLimit = 16;
  // A load that takes this much of its nominal time was served at full speed;
  // the rest is the time until its end is known.
  static constexpr double kFullSpeed = 1.15;
  // From here on the store was shared by more loads than it serves.
  static constexpr double kShared = 1.3;

  // Loads that may run at once.
  int limit() const { return m_limit; }

  // A load has ended; `at_once` loads ran meanwhile, itself included.
  // Precondition: `nominal` is positive.
  void TakeLoad(Duration took, Duration nominal, int at_once);

 private:
  int m_limit = kFirstLimit;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_STORE_CONCURRENCY_H_
