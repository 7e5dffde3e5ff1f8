#include "routing/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace hickoryloft::routing {

void EndpointHealth::RecordSuccess(const EndpointId& endpoint) {
  const auto known = m_records.find(endpoint);
  if (known == m_records.end()) {
    return;
  }
  known->second.m_failures_in_row = 0;
  known->second.m_refused = false;
  known->second.m_failed_part *= 1 - 1 / kMemory;
}

Duration EndpointHealth::RecordFailure(const EndpointId& endpoint,
                                       MonotonicTime now) {
  constexpr int kMostDoublings = 5;
  Record& record = m_records[endpoint];
  record.m_failed_part *=
      std::exp(-ToSeconds(now - record.m_failed_at) / ToSeconds(kForgetTime));
  record.m_failed_at = now;
  record.m_refused = false;
  record.m_failed_part += (1 - record.m_failed_part) / kMemory;
  const int doublings = std::min(record.m_failures_in_row++, kMostDoublings);
  Duration pause = std::min(kLongestPause, kFirstPause * (1 << doublings));
  if (record.m_failed_part > kFailingPart) {
    pause = kLongestPause;
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

void EndpointHealth::RecordTurnedAway(const EndpointId& endpoint,
                                      Duration pause,
                                      MonotonicTime now) {
  std::erase_if(m_closed_until,
                [&](const auto& closed) { return closed.second <= now; });
  MonotonicTime& until = m_closed_until[endpoint];
  until = std::max(until, now + pause);
}

bool EndpointHealth::Closed(const EndpointId& endpoint,
                            MonotonicTime now) const {
  const auto closed = m_closed_until.find(endpoint);
  return closed != m_closed_until.end() && now < closed->second;
}

int EndpointHealth::Witnesses(const EndpointId& endpoint,
                              MonotonicTime now) const {
  if (!Avoided(endpoint, now)) {
    return 0;
  }
  return m_records.at(endpoint).m_refused ? kDecisiveWitnesses : 1;
}

std::vector<std::pair<EndpointId, int>> EndpointHealth::AllWitnesses(
    MonotonicTime now) const {
  std::vector<std::pair<EndpointId, int>> avoided;
  for (const auto& [endpoint, record] : m_records) {
    if (const int witnesses = Witnesses(endpoint, now)) {
      avoided.emplace_back(endpoint, witnesses);
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
