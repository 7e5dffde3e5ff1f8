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

bool EndpointLimits::MaySend(const EndpointId& endpoint,
                             std::int64_t started_at_ms,
                             MonotonicTime now) const {
  const auto limit = m_limits.find(endpoint);
  if (limit == m_limits.end() ||
      limit->second.m_started_at_ms != started_at_ms) {
    return true;
  }
  const auto& permit = limit->second.m_permit_until;
  return permit && now < *permit;
}

void EndpointLimits::UsePermit(const EndpointId& endpoint) {
  if (const auto limit = m_limits.find(endpoint); limit != m_limits.end()) {
    limit->second.m_permit_until.reset();
  }
}

bool EndpointLimits::BeginAsking(const EndpointId& endpoint,
                                 bool urgent,
                                 MonotonicTime now) {
  const auto known = m_limits.find(endpoint);
  if (known == m_limits.end()) {
    return false;
  }
  Limit& limit = known->second;
  const bool holds_permit = limit.m_permit_until && now < *limit.m_permit_until;
  if (holds_permit || now < limit.m_ask_at ||
      (!urgent && now < limit.m_casual_ask_at)) {
    return false;
  }
  limit.m_ask_at = now + kReplyTimeout;
  limit.m_casual_ask_at = now + kCasualInterval;
  return true;
}

void EndpointLimits::RecordReply(const EndpointId& endpoint,
                                 std::optional<Duration> wait,
                                 MonotonicTime now) {
  const auto known = m_limits.find(endpoint);
  if (known == m_limits.end()) {
    return;
  }
  known->second.m_ask_at = now + wait.value_or(Duration{});
  if (!wait) {
    known->second.m_permit_until = now + kPermitLifetime;
  }
}

}  // namespace hickoryloft::admission
