#include "admission/token_quota.h"

#include <algorithm>
#include <cmath>

namespace hickoryloft::admission {

TokenQuota::TokenQuota(const QuotaLimit& limit, MonotonicTime now)
    : m_limit(limit),
      m_level(kInitialFraction * limit.m_burst_tokens),
      m_refilled_at(now),
      m_decayed_at(now) {}

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

void TokenQuota::Decay(MonotonicTime now) {
  const double elapsed = ToSeconds(now - m_decayed_at);
  m_decayed_at = now;
  const double kept = std::exp(-elapsed / ToSeconds(kRatioTime));
  m_recent_own *= kept;
  m_recent_others *= kept;
  m_predicted *= std::exp(-elapsed / ToSeconds(kPredictionTime));
}

double TokenQuota::PredictOthers(double tokens) const {
  if (m_recent_own <= 0) {
    return 0;
  }
  // Reports lag behind this host's own sum, so without the tokens still
  // predicted the ratio would fall whenever the account becomes busy.
  const double ratio = (m_recent_others + m_predicted) / m_recent_own;
  // A host that was seldom asked would take its first requests for a sign of
  // many more at the others, and would be refused most. So no host assumes
  // more than equal shares.
  return std::min(ratio, m_other_hosts) * tokens;
}

double TokenQuota::NeededLevel(double tokens, MonotonicTime now) const {
  // A request larger than the burst is admitted from a full bucket.
  const double needed = std::min(tokens, Burst());
  if (!m_empty_at || now - *m_empty_at > kPredictAfterEmpty) {
    return needed;
  }
  return std::min(needed + m_predicted,
                  std::max(needed, kCertainFraction * Burst()));
}

std::optional<Duration> TokenQuota::Take(double tokens, MonotonicTime now) {
  if (m_limit.m_tokens_per_second <= 0) {
    m_used = true;
    m_admitted += tokens;
    return std::nullopt;
  }
  Decay(now);
  const double level = Level(now);
  if (level < std::min(tokens, Burst())) {
    m_empty_at = now;
  }
  const double needed = NeededLevel(tokens, now);
  if (level < needed) {
    return FromSeconds((needed - level) / m_limit.m_tokens_per_second);
  }
  m_used = true;
  m_level -= tokens;
  m_admitted += tokens;
  m_predicted += PredictOthers(tokens);
  m_recent_own += tokens;
  return std::nullopt;
}

void TokenQuota::PutBack(double tokens, MonotonicTime now) {
  Refill(now);
  m_level = std::min(Burst(), m_level + tokens);
  m_admitted -= tokens;
  m_recent_own = std::max(0.0, m_recent_own - tokens);
}

void TokenQuota::RecordOthers(std::uint64_t epoch,
                              double total,
                              MonotonicTime now) {
  Refill(now);
  Decay(now);
  if (now - m_others_at > kMaxReportGap) {
    m_level = std::min(m_level, kInitialFraction * m_limit.m_burst_tokens);
    m_predicted = 0;
    m_recent_others = 0;
  } else if (epoch == m_epoch) {
    const double reported = total - m_others_total;
    m_level = std::min(Burst(), m_level - reported);
    // The report replaces as much of the prediction. Tokens that the others
    // put back were no sign of their share.
    m_predicted = std::max(0.0, m_predicted - std::max(0.0, reported));
    m_recent_others = std::max(0.0, m_recent_others + reported);
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
  m_other_hosts =
      hosts == 0 ? 0
                 : static_cast<double>(hosts - 1 - std::min(silent, hosts - 1));
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
