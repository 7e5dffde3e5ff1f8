#include "admission/token_quota.h"

#include <algorithm>

namespace hickoryloft::admission {

TokenQuota::TokenQuota(const QuotaLimit& limit, MonotonicTime now)
    : m_limit(limit),
      m_level(kStartingLevel * limit.m_burst_tokens),
      m_at(now) {}

void TokenQuota::SetLimit(const QuotaLimit& limit, MonotonicTime now) {
  Refill(now);
  m_limit = limit;
  m_level = std::min(m_level, limit.m_burst_tokens);
}

void TokenQuota::Refill(MonotonicTime now) {
  const double passed = ToSeconds(now - m_at);
  m_at = now;
  m_level = std::min(m_limit.m_burst_tokens,
                     m_level + passed * m_limit.m_tokens_per_second);
}

void TokenQuota::ChargeSilentPeers(MonotonicTime now) {
  const double share =
      m_limit.m_tokens_per_second / static_cast<double>(m_peers.size() + 1);
  for (auto& [host, peer] : m_peers) {
    const MonotonicTime silent_from =
        std::max(peer.m_heard_at + kReportLife, peer.m_charged_until);
    if (silent_from < now) {
      const double charge = share * ToSeconds(now - silent_from);
      m_level -= charge;
      peer.m_charged += charge;
      peer.m_charged_until = now;
    }
  }
}

std::optional<Duration> TokenQuota::Take(double tokens, MonotonicTime now) {
  if (m_limit.m_tokens_per_second <= 0) {
    m_admitted += tokens;
    return std::nullopt;
  }
  const double level = Level(now);
  // A request larger than the burst is admitted from a full bucket.
  const double needed = std::min(tokens, m_limit.m_burst_tokens);
  if (level < needed) {
    return FromSeconds((needed - level) / m_limit.m_tokens_per_second);
  }
  m_level -= tokens;
  m_admitted += tokens;
  return std::nullopt;
}

void TokenQuota::PutBack(double tokens, MonotonicTime now) {
  Refill(now);
  m_level = std::min(m_limit.m_burst_tokens, m_level + tokens);
  m_admitted -= tokens;
}

void TokenQuota::TakeReport(const HostId& peer,
                            Incarnation incarnation,
                            double total,
                            MonotonicTime now) {
  Refill(now);
  ChargeSilentPeers(now);
  Peer& known = m_peers[peer];
  if (known.m_incarnation != incarnation) {
    known = {.m_incarnation = incarnation, .m_charged_until = now};
  }
  const bool first = !known.m_heard_total;
  known.m_heard_total = true;
  if (first) {
    known.m_total = total;
  } else {
    // The report tells what the charge for the silence only assumed.
    m_level = std::min(m_limit.m_burst_tokens,
                       m_level + known.m_charged - (total - known.m_total));
    known.m_total = total;
  }
  known.m_charged = 0;
  known.m_heard_at = now;
}

void TokenQuota::SetPeers(const std::map<HostId, Incarnation>& peers,
                          MonotonicTime now) {
  Refill(now);
  ChargeSilentPeers(now);
  std::erase_if(m_peers, [&](const auto& known) {
    return !peers.contains(known.first);
  });
  for (const auto& [host, incarnation] : peers) {
    Peer& known = m_peers[host];
    if (known.m_incarnation != incarnation) {
      known = {.m_incarnation = incarnation,
               .m_heard_at = now,
               .m_charged_until = now};
    }
  }
}

bool TokenQuota::ReportDue() const {
  return m_limit.m_tokens_per_second > 0 &&
         m_admitted - m_reported > kReportPart * m_limit.m_burst_tokens;
}

double TokenQuota::Level(MonotonicTime now) {
  Refill(now);
  ChargeSilentPeers(now);
  return m_level;
}

}  // namespace hickoryloft::admission
