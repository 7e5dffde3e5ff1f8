// The order in which waiting loads get the weight store's slots.

#ifndef SOURCE_PLACEMENT_LOAD_ORDER_POLICY_H_
#define SOURCE_PLACEMENT_LOAD_ORDER_POLICY_H_

#include <span>
#include <vector>

#include "base/time.h"

namespace hickoryloft::placement {

// A load that waits for a slot.
struct WaitingLoad {
  MonotonicTime m_asked_at{};
  MonotonicTime m_deadline{};  // Of its earliest caller; max(): none waits.
  Duration m_load_time{};
};

// Thread-safe.
class LoadOrderPolicy {
 public:
  virtual ~LoadOrderPolicy() = default;

  // Returns the indices of `loads`, first to be served first.
  virtual std::vector<std::size_t> Order(std::span<const WaitingLoad> loads,
                                         MonotonicTime now) const = 0;
};

// Earliest deadline that can still be met; loads that cannot be in time for
// their callers come last.
class EarliestDeadlinePolicy : public LoadOrderPolicy {
 public:
  std::vector<std::size_t> Order(std::span<const WaitingLoad> loads,
                                 MonotonicTime now) const override;
};

// Baseline: first come, first served.
class FirstComePolicy : public LoadOrderPolicy {
 public:
  std::vector<std::size_t> Order(std::span<const WaitingLoad> loads,
                                 MonotonicTime now) const override;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_LOAD_ORDER_POLICY_H_
