#include "admission/held_permits.h"

namespace hickoryloft::admission {

bool HeldPermits::Holds(const EndpointId& endpoint, MonotonicTime now) const {
  const auto known = m_records.find(endpoint);
  return known != m_records.end() && known->second.m_permit_until &&
         now < *known->second.m_permit_until;
}

void HeldPermits::Use(const EndpointId& endpoint) {
  if (const auto known = m_records.find(endpoint); known != m_records.end()) {
    known->second.m_permit_until.reset();
  }
}

bool HeldPermits::BeginAsking(const EndpointId& endpoint,
                              bool urgent,
                              MonotonicTime now) {
  if (m_records.size() >= kMaxEndpoints && !m_records.contains(endpoint)) {
    std::erase_if(m_records, [&](const auto& known) {
      return known.second.m_casual_ask_at < now;
    });
  }
  Record& record = m_records[endpoint];
  if (Holds(endpoint, now) || now < record.m_ask_at ||
      (!urgent && now < record.m_casual_ask_at)) {
    return false;
  }
  record.m_ask_at = now + kReplyTimeout;
  record.m_casual_ask_at = now + kCasualInterval;
  return true;
}

void HeldPermits::RecordReply(const EndpointId& endpoint,
                              std::optional<Duration> wait,
                              MonotonicTime now) {
  const auto known = m_records.find(endpoint);
  if (known == m_records.end()) {
    return;
  }
  known->second.m_ask_at = now + wait.value_or(Duration{});
  if (!wait) {
    known->second.m_permit_until = now + kPermitLifetime;
  }
}

}  // namespace hickoryloft::admission
