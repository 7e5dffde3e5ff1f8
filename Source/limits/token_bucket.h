// An exact token bucket, as kept by a single host.

#ifndef SOURCE_LIMITS_TOKEN_BUCKET_H_
#define SOURCE_LIMITS_TOKEN_BUCKET_H_

#include <algorithm>

#include "base/time.h"
#include "limits/share_plan.h"

namespace hickoryloft::limits {

// The reference that distributed shares are compared with. Not thread-safe; the
// times passed in must not decrease.
class TokenBucket {
 public:
  // Starts full.
  TokenBucket(const RateLimit& limit, MonotonicTime now)
      : m_limit(limit), m_level(limit.m_burst_tokens), m_at(now) {}

  double Level(MonotonicTime now) {
    const double refill = m_limit.m_tokens_per_second * ToSeconds(now - m_at);
    m_at = now;
    m_level = std::min(m_level + refill, m_limit.m_burst_tokens);
    return m_level;
  }

  // Takes `tokens` in any case; the level becomes negative if there are too
  // few.
  void Take(double tokens, MonotonicTime now) { m_level = Level(now) - tokens; }

  void PutBack(double tokens, MonotonicTime now) {
    m_level = std::min(Level(now) + tokens, m_limit.m_burst_tokens);
  }

 private:
  RateLimit m_limit;
  double m_level;
  MonotonicTime m_at;
};

}  // namespace hickoryloft::limits

#endif  // SOURCE_LIMITS_TOKEN_BUCKET_H_
