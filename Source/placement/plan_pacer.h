// When the giver of orders plans again.

#ifndef SOURCE_PLACEMENT_PLAN_PACER_H_
#define SOURCE_PLACEMENT_PLAN_PACER_H_

#include <algorithm>

#include "base/time.h"

namespace hickoryloft::placement {

// Keeps plans to a part of the processor: a giver of orders that does nothing
// but plan does not renew its right in time, and orders stop. Not thread-safe.
class PlanPacer {
 public:
  // Changes that come together make one plan.
  static constexpr Duration kLeastPause = milliseconds(6);
  // The pause after a plan, in times of the plan: plans take a fifth of the
  // processor at most.
  static constexpr int kPauseFactor = 4;
  // A plan is never put off for longer, whatever the last one took: half of the
  // time between renewals of the right.
  static constexpr Duration kMostPause = milliseconds(250);

  void TakePlan(Duration took) { m_last = took; }
  // Returns how long to wait before the next plan.
  Duration Pause() const {
    return std::clamp<Duration>(kPauseFactor * m_last, kLeastPause,
                                std::max<Duration>(kMostPause, m_last));
  }

 private:
  Duration m_last{};
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_PLAN_PACER_H_
