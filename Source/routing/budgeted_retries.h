// Retries that stay a small share of all calls.

#ifndef SOURCE_ROUTING_BUDGETED_RETRIES_H_
#define SOURCE_ROUTING_BUDGETED_RETRIES_H_

#include "routing/retry_policy.h"

namespace hickoryloft::routing {

// Each request earns kEarnedPerRequest of a retry, up to kMaxBudget; a retry
// costs one. So a failure of all endpoints adds little load.
class BudgetedRetries : public RetryPolicy {
 public:
  static constexpr double kEarnedPerRequest = 0.1;
  static constexpr double kMaxBudget = 20;

  void OnRequest() override;
  bool TryRetry(const RetryInput& input) override;

 private:
  double m_budget = kMaxBudget;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_BUDGETED_RETRIES_H_
