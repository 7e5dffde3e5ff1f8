// Measures the rate of admitted tokens and requests.

#ifndef SOURCE_LIMITS_DEMAND_METER_H_
#define SOURCE_LIMITS_DEMAND_METER_H_

#include <cmath>
#include <cstdint>

#include "base/time.h"

namespace hickoryloft::limits {

// Sums with exponential decay. Not thread-safe; the times passed in must not
// decrease.
class DemandMeter {
 public:
  void Record(std::uint64_t tokens, MonotonicTime now) {
    Decay(now);
    m_tokens += static_cast<double>(tokens);
    m_requests += 1;
  }

  double TokensPerSecond(MonotonicTime now) {
    Decay(now);
    return m_tokens / ToSeconds(kTimeConstant);
  }

  double RequestsPerSecond(MonotonicTime now) {
    Decay(now);
    return m_requests / ToSeconds(kTimeConstant);
  }

 private:
  static constexpr Duration kTimeConstant = seconds(1);

  void Decay(MonotonicTime now) {
    const double factor =
        std::exp(-ToSeconds(now - m_at) / ToSeconds(kTimeConstant));
    m_tokens *= factor;
    m_requests *= factor;
    m_at = now;
  }

  double m_tokens = 0;
  double m_requests = 0;
  MonotonicTime m_at{};
};

}  // namespace hickoryloft::limits

#endif  // SOURCE_LIMITS_DEMAND_METER_H_
