#include "documents/freshness_tracker.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace hickoryloft::documents {

void FreshnessTracker::SetMembers(std::vector<HostId> members,
                                  std::uint64_t digest,
                                  const HostId& self) {
  m_members = std::move(members);
  m_digest = digest;
  m_self = self;
  std::erase_if(m_heartbeats, [&](const auto& item) {
    return std::find(m_members.begin(), m_members.end(), item.first) ==
           m_members.end();
  });
}

void FreshnessTracker::OnApplied(Revision revision) {
  m_applied = std::max(m_applied, revision);
}

void FreshnessTracker::OnProof(const FreshnessProof& proof) {
  if (!m_proof || proof.m_began > m_proof->m_began) {
    const Revision newest =
        std::max(proof.m_revision, m_proof ? m_proof->m_revision : 0);
    m_proof = FreshnessProof{newest, proof.m_began};
  }
}

void FreshnessTracker::OnHeartbeat(const HostId& host,
                                   Revision revision,
                                   std::uint64_t digest,
                                   MonotonicTime requested_at) {
  const bool member =
      std::find(m_members.begin(), m_members.end(), host) != m_members.end();
  if (!member || host == m_self) {
    return;
  }
  LastHeartbeat& heartbeat = m_heartbeats[host];
  heartbeat.m_revision = std::max(heartbeat.m_revision, revision);
  if (requested_at >= heartbeat.m_requested_at) {
    heartbeat.m_requested_at = requested_at;
    heartbeat.m_digest = digest;
  }
}

std::optional<MonotonicTime> FreshnessTracker::ServeUntil() const {
  std::optional<MonotonicTime> until;
  if (m_proof && m_applied >= m_proof->m_revision) {
    until = m_proof->m_began + m_limit;
  }
  if (const auto majority_at = MajorityHeartbeatAt()) {
    until = std::max(until.value_or(MonotonicTime{}), *majority_at + m_limit);
  }
  return until;
}

std::optional<MonotonicTime> FreshnessTracker::MajorityHeartbeatAt() const {
  std::vector<MonotonicTime> request_times;
  for (const auto& [host, heartbeat] : m_heartbeats) {
    if (heartbeat.m_revision > m_applied) {
      return std::nullopt;
    }
    if (heartbeat.m_digest == m_digest) {
      request_times.push_back(heartbeat.m_requested_at);
    }
  }
  // This host is part of the majority, so it needs one heartbeat less. A single
  // member proves nothing: it cannot distinguish an outage of the others from
  // its own network partition.
  const std::size_t needed = m_members.size() / 2;
  if (needed == 0 || request_times.size() < needed) {
    return std::nullopt;
  }
  std::sort(request_times.begin(), request_times.end(), std::greater<>());
  return request_times[needed - 1];
}

}  // namespace hickoryloft::documents
