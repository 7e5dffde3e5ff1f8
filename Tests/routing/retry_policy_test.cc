#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "routing/budgeted_retries.h"
#include "routing/three_tries.h"

using namespace hickoryloft;
using namespace hickoryloft::routing;

namespace {

const RetryInput kRetryable{.m_idempotent = true,
                            .m_time_left = seconds(1),
                            .m_time_needed = milliseconds(100)};

}  // namespace

TEST_CASE("Retries stay within the budget that requests have earned") {
  CHECK(rc::check([](const std::vector<bool>& is_request) {
    BudgetedRetries policy;
    double earned = BudgetedRetries::kMaxBudget;
    double retries = 0;
    for (const bool request : is_request) {
      if (request) {
        policy.OnRequest();
        earned += BudgetedRetries::kEarnedPerRequest;
      } else if (policy.TryRetry(kRetryable)) {
        ++retries;
      }
      RC_ASSERT(retries <= earned + 1e-6);
    }
  }));
}

TEST_CASE("Calls that are not safe to retry are not retried") {
  BudgetedRetries budgeted;
  ThreeTries three;
  RetryInput input = kRetryable;
  input.m_idempotent = false;
  CHECK_FALSE(budgeted.TryRetry(input));
  CHECK_FALSE(three.TryRetry(input));
  input = kRetryable;
  input.m_answer_started = true;
  CHECK_FALSE(budgeted.TryRetry(input));
  CHECK_FALSE(three.TryRetry(input));
  input = kRetryable;
  input.m_time_left = milliseconds(50);
  CHECK_FALSE(budgeted.TryRetry(input));
  CHECK(three.TryRetry(input));
  input.m_attempts = ThreeTries::kMaxCalls;
  CHECK_FALSE(three.TryRetry(input));
}
