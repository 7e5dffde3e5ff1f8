// Baseline: a fixed number of attempts.

#ifndef SOURCE_ROUTING_THREE_TRIES_H_
#define SOURCE_ROUTING_THREE_TRIES_H_

#include "routing/retry_policy.h"

namespace hickoryloft::routing {

// Allows up to kMaxCalls calls per request, regardless of the time left.
class ThreeTries : public RetryPolicy {
 public:
  static constexpr std::uint32_t kMaxCalls = 3;

  void OnRequest() override {}
  bool TryRetry(const RetryInput& input) override;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_THREE_TRIES_H_
