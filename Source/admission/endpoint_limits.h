// The limits that endpoints name for the requests of all hosts together.

#ifndef SOURCE_ADMISSION_ENDPOINT_LIMITS_H_
#define SOURCE_ADMISSION_ENDPOINT_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"

namespace hickoryloft::admission {

// A limit lasts until the endpoint answers without naming one, or restarts. Not
// thread-safe.
class EndpointLimits {
 public:
  // Records the limit named in an answer of the incarnation that started at
  // `started_at_ms` (Unix time in milliseconds); nothing if it named none.
  // Returns whether the limit changed.
  bool Record(const EndpointId& endpoint,
              std::int64_t started_at_ms,
              std::optional<double> requests_per_second);
  // Returns the limit of the incarnation in requests a second.
  std::optional<double> LimitOf(const EndpointId& endpoint,
                                std::int64_t started_at_ms) const;
  // The endpoints with a limit.
  std::vector<EndpointId> Limited() const;

 private:
  // Limits are kept over lapses of registrations, so their number is bounded
  // here.
  static constexpr std::size_t kMaxLimits = 1024;

  struct Limit {
    std::int64_t m_started_at_ms = 0;
    double m_requests_per_second = 0;
  };

  std::map<EndpointId, Limit> m_limits;
};

}  // namespace hickoryloft::admission

#endif  // SOURCE_ADMISSION_ENDPOINT_LIMITS_H_
