#include "admission/endpoint_limits.h"

#include <utility>

namespace hickoryloft::admission {

bool EndpointLimits::Record(const EndpointId& endpoint,
                            std::int64_t started_at_ms,
                            std::optional<double> requests_per_second) {
  const auto known = m_limits.find(endpoint);
  if (known != m_limits.end() &&
      known->second.m_started_at_ms > started_at_ms) {
    return false;  // A late answer of an earlier incarnation.
  }
  if (!requests_per_second) {
    return m_limits.erase(endpoint) > 0;
  }
  if (known == m_limits.end() ||
      known->second.m_started_at_ms != started_at_ms) {
    if (m_limits.size() >= kMaxLimits) {
      m_limits.erase(m_limits.begin());
    }
    m_limits[endpoint] = {.m_started_at_ms = started_at_ms,
                          .m_requests_per_second = *requests_per_second};
    return true;
  }
  return std::exchange(known->second.m_requests_per_second,
                       *requests_per_second) != *requests_per_second;
}

std::optional<double> EndpointLimits::LimitOf(
    const EndpointId& endpoint,
    std::int64_t started_at_ms) const {
  const auto limit = m_limits.find(endpoint);
  if (limit == m_limits.end() ||
      limit->second.m_started_at_ms != started_at_ms) {
    return std::nullopt;
  }
  return limit->second.m_requests_per_second;
}

std::vector<EndpointId> EndpointLimits::Limited() const {
  std::vector<EndpointId> limited;
  limited.reserve(m_limits.size());
  for (const auto& [endpoint, limit] : m_limits) {
    limited.push_back(endpoint);
  }
  return limited;
}

}  // namespace hickoryloft::admission
