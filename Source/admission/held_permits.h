// This host's permits for endpoints that limit the requests of all hosts.

#ifndef SOURCE_ADMISSION_HELD_PERMITS_H_
#define SOURCE_ADMISSION_HELD_PERMITS_H_

#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::admission {

// A request may be sent to a limited endpoint only with a permit, which the
// host asks for when it has a request. Not thread-safe; the times passed in
// must not decrease.
class HeldPermits {
 public:
  // How long a permit may be used after it arrived.
  static constexpr Duration kPermitLifetime = milliseconds(400);
  // A request for a permit that is not answered within this time is lost.
  static constexpr Duration kReplyTimeout = milliseconds(300);
  // Interval at which a host that has another endpoint asks for a permit.
  static constexpr Duration kCasualInterval = seconds(1);

  // Returns whether the host has a permit for a request to the endpoint.
  bool Holds(const EndpointId& endpoint, MonotonicTime now) const;
  // Uses the permit for a request, if there is one.
  void Use(const EndpointId& endpoint);

  // Returns whether to ask for a permit now, and if so records that it was
  // asked for. `urgent`: a request waits for this endpoint; otherwise it has
  // another one.
  bool BeginAsking(const EndpointId& endpoint, bool urgent, MonotonicTime now);
  // Records the reply: a permit, or `wait` until the next request for one.
  void RecordReply(const EndpointId& endpoint,
                   std::optional<Duration> wait,
                   MonotonicTime now);

 private:
  // The records of endpoints that nobody asks for are dropped at this count.
  static constexpr std::size_t kMaxEndpoints = 1024;

  struct Record {
    std::optional<MonotonicTime> m_permit_until;
    // Earliest time of the next request for a permit.
    MonotonicTime m_ask_at;
    MonotonicTime m_casual_ask_at;
  };

  std::map<EndpointId, Record> m_records;
};

}  // namespace hickoryloft::admission

#endif  // SOURCE_ADMISSION_HELD_PERMITS_H_
