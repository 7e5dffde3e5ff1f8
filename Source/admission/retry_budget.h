// Bounds how many requests are sent to a second endpoint.

#ifndef SOURCE_ADMISSION_RETRY_BUDGET_H_
#define SOURCE_ADMISSION_RETRY_BUDGET_H_

#include <deque>

#include "base/time.h"

namespace hickoryloft::admission {

struct RetryLimits {
  double m_ratio = 0;  // Second sends per request of a window.
  double m_extra = 0;  // Second sends of a window besides, for all hosts.
  Duration m_window{};
};

// One host's part of a service's budget: the ratio of its own requests, and an
// equal share of the rest. The parts of all hosts together stay within the
// budget without an exchange. Not thread-safe; the times given must not
// decrease.
class RetryBudget {
 public:
  // Part of the budget that is used; the rest covers hosts that were replaced
  // within a window and still count in it.
  static constexpr double kUsedPart = 0.7;

  explicit RetryBudget(const RetryLimits& limits) : m_limits(limits) {}

  void CountRequest(MonotonicTime now);
  // Takes one second send. Precondition of a true result being safe: `hosts`
  // is the number of hosts that serve. Returns whether it may be made.
  bool TakeRetry(std::size_t hosts, MonotonicTime now);
  // Returns how many second sends may be made now.
  double Left(std::size_t hosts, MonotonicTime now);

 private:
  void Forget(MonotonicTime now);

  RetryLimits m_limits;
  std::deque<MonotonicTime> m_requests;
  std::deque<MonotonicTime> m_retries;
};

}  // namespace hickoryloft::admission

#endif  // SOURCE_ADMISSION_RETRY_BUDGET_H_
