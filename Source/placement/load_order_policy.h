// Policies that order the loads waiting for the weight store's slots.

#ifndef SOURCE_PLACEMENT_LOAD_ORDER_POLICY_H_
#define SOURCE_PLACEMENT_LOAD_ORDER_POLICY_H_

#include <span>
#include <vector>

#include "base/time.h"

namespace hickoryloft::placement {

// A load that waits for a slot.
struct WaitingLoad {
  MonotonicTime m_requested_at{};
  MonotonicTime m_deadline{};  // Of the most urgent caller; max(): none.
  Duration m_load_time{};
};

// Thread-safe.
class LoadOrderPolicy {
 public:
  virtual ~LoadOrderPolicy() = default;

  // Returns the indices of `loads` in the order of service.
  virtual std::vector<std::size_t> Order(std::span<const WaitingLoad> loads,
                                         MonotonicTime now) const = 0;
};

// Orders by deadline, but puts loads that would miss their deadline last.
class EarliestDeadlinePolicy : public LoadOrderPolicy {
 public:
  std::vector<std::size_t> Order(std::span<const WaitingLoad> loads,
                                 MonotonicTime now) const override;
};

// Baseline: orders by arrival time.
class FirstComePolicy : public LoadOrderPolicy {
 public:
  std::vector<std::size_t> Order(std::span<const WaitingLoad> loads,
                                 MonotonicTime now) const override;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_LOAD_ORDER_POLICY_H_
