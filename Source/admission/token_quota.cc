#include "admission/token_quota.h"

#include <algorithm>

namespace hickoryloft::admission {

TokenQuota::TokenQuota(const QuotaLimit& limit, MonotonicTime now)
    : m_limit(limit),
      m_level(kInitialFraction * limit.m_burst_tokens),
      m_refilled_at(now) {}

void TokenQuota::SetLimit(const QuotaLimit& limit, MonotonicTime now) {
  Refill(now);
  m_limit = limit;
  m_level = std::min(m_level, limit.m_burst_tokens);
}

void TokenQuota::Refill(MonotonicTime now) {
  const double elapsed = ToSeconds(now - m_refilled_at);
  m_refilled_at = now;
  const double usable = m_limit.m_tokens_per_second * (1 - m_silent_fraction);
  m_level = std::min(Burst(), m_level + elapsed * usable);
}

double TokenQuota::Burst() const {
  return m_limit.m_burst_tokens * (1 - m_silent_fraction);
}

std::optional<Duration> TokenQuota::Take(double tokens, MonotonicTime now) {
  if (m_limit.m_tokens_per_second <= 0) {
    m_used = true;
    m_admitted += tokens;
    return std::nullopt;
  }
  const double level = Level(now);
  // A request larger than the burst is admitted from a full bucket.
  const double needed = std::min(tokens, Burst());
  if (level < needed) {
    return FromSeconds((needed - level) / m_limit.m_tokens_per_second);
  }
  m_used = true;
  m_level -= tokens;
  m_admitted += tokens;
  return std::nullopt;
}

void TokenQuota::PutBack(double tokens, MonotonicTime now) {
  Refill(now);
  m_level = std::min(Burst(), m_level + tokens);
  m_admitted -= tokens;
}

void TokenQuota::RecordOthers(std::uint64_t epoch,
                              double total,
                              MonotonicTime now) {
  Refill(now);
  if (now - m_others_at > kMaxReportGap) {
    m_level = std::min(m_level, kInitialFraction * m_limit.m_burst_tokens);
  } else if (epoch == m_epoch) {
    m_level = std::min(Burst(), m_level - (total - m_others_total));
  }
  m_epoch = epoch;
  m_others_at = now;
  m_others_total = total;
}

void TokenQuota::SetSilentHosts(std::size_t silent,
                                std::size_t hosts,
                                MonotonicTime now) {
  Refill(now);
  // This host itself is never silent.
  const double silent_fraction =
      hosts == 0 ? 0
                 : static_cast<double>(std::min(silent, hosts - 1)) /
                       static_cast<double>(hosts);
  if (silent_fraction > m_silent_fraction && m_level > 0) {
    // In a partition the tokens left would be spent on both sides, so each side
    // keeps only the share of its own hosts.
    m_level *= (1 - silent_fraction) / (1 - m_silent_fraction);
  }
  m_silent_fraction = silent_fraction;
}

double TokenQuota::Level(MonotonicTime now) {
  Refill(now);
  return m_level;
}

bool TokenQuota::ReportDue() const {
  return m_limit.m_tokens_per_second > 0 &&
         m_admitted - m_reported >
             kEarlyReportFraction * m_limit.m_burst_tokens;
}

}  // namespace hickoryloft::admission
