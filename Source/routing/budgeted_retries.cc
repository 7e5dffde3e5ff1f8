#include "routing/budgeted_retries.h"

#include <algorithm>

namespace hickoryloft::routing {

void BudgetedRetries::OnRequest() {
  m_budget = std::min(kMaxBudget, m_budget + kEarnedPerRequest);
}

bool BudgetedRetries::TryRetry(const RetryInput& input) {
  const bool safe_to_retry = input.m_idempotent && !input.m_answer_started;
  if (!safe_to_retry || input.m_time_left <= input.m_time_needed ||
      m_budget < 1) {
    return false;
  }
  m_budget -= 1;
  return true;
}

}  // namespace hickoryloft::routing
