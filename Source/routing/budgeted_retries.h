// Limits retries to a small fraction of all calls.

#ifndef SOURCE_ROUTING_BUDGETED_RETRIES_H_
#define SOURCE_ROUTING_BUDGETED_RETRIES_H_

#include "routing/retry_policy.h"

namespace hickoryloft::routing {

// Each request adds kEarnedPerRequest to the budget, up to kMaxBudget; a retry
// costs one. Retries therefore add little load when all endpoints fail.
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
