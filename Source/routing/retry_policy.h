// Decides whether a failed call is retried.

#ifndef SOURCE_ROUTING_RETRY_POLICY_H_
#define SOURCE_ROUTING_RETRY_POLICY_H_

#include <cstdint>

#include "base/time.h"

namespace hickoryloft::routing {

struct RetryInput {
  bool m_idempotent = false;
  bool m_answer_started = false;  // A byte was sent to the caller.
  std::uint32_t m_attempts = 1;   // Calls made so far.
  Duration m_time_left{};         // Until the caller times out.
  Duration m_time_needed{};       // Expected time until the first answer.
};

// A retry rule. Not thread-safe.
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;

  // Records a new request.
  virtual void OnRequest() = 0;
  // Returns whether the call may be retried; if so, counts the retry.
  virtual bool TryRetry(const RetryInput& input) = 0;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_RETRY_POLICY_H_
