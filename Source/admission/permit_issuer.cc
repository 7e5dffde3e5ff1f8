#include "admission/permit_issuer.h"

#include <algorithm>

namespace hickoryloft::admission {

std::optional<Duration> PermitIssuer::Take(const EndpointId& endpoint,
                                           double requests_per_second,
                                           MonotonicTime now) {
  // The interval of a lower rate would overflow.
  constexpr double kMinRate = 1e-6;
  if (m_due.size() >= kMaxEndpoints) {
    std::erase_if(m_due, [&](const auto& due) {
      return due.second + kHandoverTime < now;
    });
  }
  MonotonicTime& due =
      m_due.try_emplace(endpoint, now + kHandoverTime).first->second;
  if (!(requests_per_second >= kMinRate)) {
    return kMaxWait;
  }
  due = std::max(due, now - kBurstTime);
  if (due > now) {
    return std::min<Duration>(due - now, kMaxWait);
  }
  due += FromSeconds(1 / requests_per_second);
  return std::nullopt;
}

}  // namespace hickoryloft::admission
