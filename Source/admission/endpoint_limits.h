// The limits that endpoints name for the requests of all hosts together, and
// this host's permits for them.

#ifndef SOURCE_ADMISSION_ENDPOINT_LIMITS_H_
#define SOURCE_ADMISSION_ENDPOINT_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::admission {

// A request may be sent to a limited endpoint only with a permit, which the
// host asks for when it has a request. A limit lasts until the endpoint answers
// without naming one, or restarts. Not thread-safe; the times passed in must
// not decrease.
class EndpointLimits {
 public:
  // How long a permit may be used after it arrived.
  static constexpr Duration kPermitLifetime = milliseconds(400);
  // A request for a permit that is not answered within this time is lost.
  static constexpr Duration kReplyTimeout = milliseconds(300);
  // Interval at which a host that has another endpoint asks for a permit.
  static constexpr Duration kCasualInterval = seconds(1);

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

  // Returns whether a request may be sent now.
  bool MaySend(const EndpointId& endpoint,
               std::int64_t started_at_ms,
               MonotonicTime now) const;
  // Uses the permit for a request. Precondition: MaySend().
  void UsePermit(const EndpointId& endpoint);

  // Returns whether to ask for a permit now, and if so records that it was
  // asked for. `urgent`: a request waits for this endpoint; otherwise it has
  // another one. Precondition: the endpoint has a limit.
  bool BeginAsking(const EndpointId& endpoint, bool urgent, MonotonicTime now);
  // Records the reply: a permit, or `wait` until the next request for one.
  void RecordReply(const EndpointId& endpoint,
                   std::optional<Duration> wait,
                   MonotonicTime now);

 private:
  // Limits are kept over lapses of registrations, so their number is bounded
  // here.
  static constexpr std::size_t kMaxLimits = 1024;

  struct Limit {
    std::int64_t m_started_at_ms = 0;
    double m_requests_per_second = 0;
    std::optional<MonotonicTime> m_permit_until;
    // Earliest time of the next request for a permit.
    MonotonicTime m_ask_at;
    MonotonicTime m_casual_ask_at;
  };

  std::map<EndpointId, Limit> m_limits;
};

}  // namespace hickoryloft::admission

#endif  // SOURCE_ADMISSION_ENDPOINT_LIMITS_H_
