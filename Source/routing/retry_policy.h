// The decision whether a failed call is tried again.

#ifndef SOURCE_ROUTING_RETRY_POLICY_H_
#define SOURCE_ROUTING_RETRY_POLICY_H_

#include <cstdint>

#include "base/time.h"

namespace hickoryloft::routing {

struct RetryInput {
  bool m_idempotent = false;
  bool m_answer_started = false;  // A byte has gone to the caller.
  std::uint32_t m_attempts = 1;   // Calls made so far.
  Duration m_time_left{};
  Duration m_time_needed{};  // Expected time to a first answer.
};

// A rule for retries. Not thread-safe.
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;

  // A new request began.
  virtual void OnRequest() = 0;
  // Returns whether the call may be made again, and counts that retry.
  virtual bool TryRetry(const RetryInput& input) = 0;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_RETRY_POLICY_H_
