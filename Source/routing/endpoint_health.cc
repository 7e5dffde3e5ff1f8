#include "routing/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace hickoryloft::routing {

void EndpointHealth::RecordSuccess(const EndpointId& endpoint) {
  const auto known = m_records.find(endpoint);
  if (known == m_records.end()) {
    return;
  }
  known->second.m_consecutive_failures = 0;
  known->second.m_refused = false;
  known->second.m_failure_rate *= 1 - 1 / kAveragedRequests;
}

Duration EndpointHealth::RecordFailure(const EndpointId& endpoint,
                                       MonotonicTime now) {
  constexpr int kMaxDoublings = 5;
  Record& record = m_records[endpoint];
  record.m_failure_rate *= std::exp(-ToSeconds(now - record.m_failed_at) /
                                    ToSeconds(kFailureDecayTime));
  record.m_failed_at = now;
  record.m_refused = false;
  record.m_failure_rate += (1 - record.m_failure_rate) / kAveragedRequests;
  const int doublings =
      std::min(record.m_consecutive_failures++, kMaxDoublings);
  Duration pause = std::min(kMaxPause, kFirstPause * (1 << doublings));
  if (record.m_failure_rate > kMaxFailureRate) {
    pause = kMaxPause;
  }
  record.m_avoid_until = std::max(record.m_avoid_until, now + pause);
  return record.m_avoid_until - now;
}

Duration EndpointHealth::RecordRefusal(const EndpointId& endpoint,
                                       MonotonicTime now) {
  const Duration pause = RecordFailure(endpoint, now);
  m_records[endpoint].m_refused = true;
  return pause;
}

void EndpointHealth::RecordBackoff(const EndpointId& endpoint,
                                   Duration pause,
                                   MonotonicTime now) {
  std::erase_if(m_backoff_until,
                [&](const auto& backoff) { return backoff.second <= now; });
  MonotonicTime& until = m_backoff_until[endpoint];
  until = std::max(until, now + pause);
}

bool EndpointHealth::InBackoff(const EndpointId& endpoint,
                               MonotonicTime now) const {
  const auto backoff = m_backoff_until.find(endpoint);
  return backoff != m_backoff_until.end() && now < backoff->second;
}

int EndpointHealth::FailureVotes(const EndpointId& endpoint,
                                 MonotonicTime now) const {
  if (!Avoided(endpoint, now)) {
    return 0;
  }
  return m_records.at(endpoint).m_refused ? kDecisiveVotes : 1;
}

std::vector<std::pair<EndpointId, int>> EndpointHealth::AllFailureVotes(
    MonotonicTime now) const {
  std::vector<std::pair<EndpointId, int>> avoided;
  for (const auto& [endpoint, record] : m_records) {
    if (const int votes = FailureVotes(endpoint, now)) {
      avoided.emplace_back(endpoint, votes);
    }
  }
  return avoided;
}

bool EndpointHealth::Avoided(const EndpointId& endpoint,
                             MonotonicTime now) const {
  const auto known = m_records.find(endpoint);
  return known != m_records.end() && now < known->second.m_avoid_until;
}

}  // namespace hickoryloft::routing
