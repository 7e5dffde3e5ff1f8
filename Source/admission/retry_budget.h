// Limits how many requests are retried at a second endpoint.

#ifndef SOURCE_ADMISSION_RETRY_BUDGET_H_
#define SOURCE_ADMISSION_RETRY_BUDGET_H_

#include <deque>

#include "base/time.h"

namespace hickoryloft::admission {

struct RetryLimits {
  double m_ratio = 0;   // Retries per request in a window.
  double m_extra = 0;   // Additional retries per window, over all hosts.
  Duration m_window{};  // Length of the sliding window.
};

// One host's part of a service's retry budget: the ratio applied to its own
// requests, plus an equal share of the additional retries. All hosts together
// stay within the budget without communication. Not thread-safe; the times
// passed in must not decrease.
class RetryBudget {
 public:
  // Fraction of the budget that is used. The rest covers hosts that were
  // replaced within a window, since their retries still count in it.
  static constexpr double kUsedFraction = 0.7;

  explicit RetryBudget(const RetryLimits& limits) : m_limits(limits) {}

  void CountRequest(MonotonicTime now);
  // Returns whether a retry may be made; if so, counts it. Precondition:
  // `hosts` is the number of hosts that serve, or the hosts may exceed the
  // budget.
  bool TryRetry(std::size_t hosts, MonotonicTime now);
  // Returns how many retries may be made now.
  double Remaining(std::size_t hosts, MonotonicTime now);

 private:
  void DropExpired(MonotonicTime now);

  RetryLimits m_limits;
  std::deque<MonotonicTime> m_requests;
  std::deque<MonotonicTime> m_retries;
};

}  // namespace hickoryloft::admission

#endif  // SOURCE_ADMISSION_RETRY_BUDGET_H_
