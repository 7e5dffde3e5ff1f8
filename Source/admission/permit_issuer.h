// Issues the permits for requests to endpoints that limit the requests of all
// hosts together.

#ifndef SOURCE_ADMISSION_PERMIT_ISSUER_H_
#define SOURCE_ADMISSION_PERMIT_ISSUER_H_

#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::admission {

// Spaces the permits of an endpoint by its limit. One host issues the permits
// of an endpoint to all hosts, so the limit holds for the fleet. Not
// thread-safe; the times passed in must not decrease.
class PermitIssuer {
 public:
  // A new issuer of an endpoint waits for this long, because another host may
  // still issue permits according to an earlier view of the members.
  static constexpr Duration kHandoverTime = seconds(1);
  // Permits that were not asked for are kept for this long.
  static constexpr Duration kBurstTime = milliseconds(250);
  // Longest time that is stated until the next permit.
  static constexpr Duration kMaxWait = seconds(1);

  // Issues a permit for one request to the endpoint. Returns nothing on
  // success, else the time until the next permit. A limit that is no positive
  // number counts as zero.
  std::optional<Duration> Take(const EndpointId& endpoint,
                               double requests_per_second,
                               MonotonicTime now);

 private:
  // The times of endpoints that nobody asks for are dropped at this count.
  static constexpr std::size_t kMaxEndpoints = 1024;

  // When the next permit is due if permits are issued at the limit.
  std::map<EndpointId, MonotonicTime> m_due;
};

}  // namespace hickoryloft::admission

#endif  // SOURCE_ADMISSION_PERMIT_ISSUER_H_
