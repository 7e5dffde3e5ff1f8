// The interval between the placement leader's plans.

#ifndef SOURCE_PLACEMENT_PLAN_PACER_H_
#define SOURCE_PLACEMENT_PLAN_PACER_H_

#include <algorithm>

#include "base/time.h"

namespace hickoryloft::placement {

// Limits planning to a share of the processor: a placement leader that is
// always planning does not renew its lease in time, and no orders are sent. Not
// thread-safe.
class PlanPacer {
 public:
  // Changes within this time are covered by one plan.
  static constexpr Duration kMinPause = milliseconds(6);
  // The pause after a plan, as a multiple of the plan's duration: plans take a
  // fifth of the processor at most.
  static constexpr int kPauseFactor = 4;
  // The longest pause unless the last plan itself took longer: half of the
  // interval between lease renewals.
  static constexpr Duration kMaxPause = milliseconds(250);

  // Records the start and the end of a plan.
  void RecordPlan(MonotonicTime began, MonotonicTime ended) {
    const Duration took = ended - began;
    m_next_at =
        ended + std::clamp<Duration>(kPauseFactor * took, kMinPause,
                                     std::max<Duration>(kMaxPause, took));
  }
  // Returns how long to wait before the next plan, whatever it is for; `wanted`
  // if the last plan allows it.
  Duration DelayFor(Duration wanted, MonotonicTime now) const {
    return std::max(wanted, m_next_at - now);
  }

 private:
  MonotonicTime m_next_at;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_PLAN_PACER_H_
