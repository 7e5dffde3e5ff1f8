#include "admission/retry_budget.h"

#include <algorithm>

namespace hickoryloft::admission {

void RetryBudget::CountRequest(MonotonicTime now) {
  DropExpired(now);
  m_requests.push_back(now);
}

double RetryBudget::Remaining(std::size_t hosts, MonotonicTime now) {
  DropExpired(now);
  const double own_share =
      m_limits.m_extra / static_cast<double>(std::max<std::size_t>(1, hosts));
  const double allowed =
      kUsedFraction *
      (m_limits.m_ratio * static_cast<double>(m_requests.size()) + own_share);
  return allowed - static_cast<double>(m_retries.size());
}

bool RetryBudget::TryRetry(std::size_t hosts, MonotonicTime now) {
  if (Remaining(hosts, now) < 1) {
    return false;
  }
  m_retries.push_back(now);
  return true;
}

void RetryBudget::DropExpired(MonotonicTime now) {
  const auto expired = [&](const std::deque<MonotonicTime>& times) {
    return !times.empty() && times.front() + m_limits.m_window < now;
  };
  while (expired(m_requests)) {
    m_requests.pop_front();
  }
  while (expired(m_retries)) {
    m_retries.pop_front();
  }
}

}  // namespace hickoryloft::admission
