// When endpoints began to leave, and what that says about their end.

#ifndef SOURCE_FLEET_DEPARTURES_H_
#define SOURCE_FLEET_DEPARTURES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::fleet {

// How one incarnation of an endpoint announced that it is leaving.
struct Departure {
  // The registration showed it after this time; MonotonicTime::min() if it is
  // not known since when. Nothing: only answers of the endpoint say so.
  std::optional<MonotonicTime> m_registered_after;
  // How long after that the endpoint is withdrawn, whatever it still runs; set
  // if that is at short notice.
  std::optional<Duration> m_notice;
};

// Remembers departures, also of endpoints whose registration has been removed.
// Not thread-safe.
class Departures {
 public:
  // The oldest departures beyond this number are forgotten.
  static constexpr std::size_t kMaxRecords = 1024;

  // Records that the incarnation of `endpoint` that started at `started_at_ms`
  // is leaving. A repeated record only adds what was not known.
  void Record(const EndpointId& endpoint,
              std::int64_t started_at_ms,
              const Departure& departure);

  // Returns whether the incarnation has announced that it is leaving.
  bool IsLeaving(const EndpointId& endpoint, std::int64_t started_at_ms) const {
    return Find(endpoint, started_at_ms) != nullptr;
  }

  // Returns whether the incarnation may have exited at `at` as announced, which
  // it does when it has completed its requests. Nothing else explains an exit
  // before it has served for `service_time` since its registration showed the
  // departure, or after its notice has run out, than that it broke them off.
  bool MayHaveFinished(const EndpointId& endpoint,
                       std::int64_t started_at_ms,
                       MonotonicTime at,
                       Duration service_time) const;

 private:
  struct Entry {
    std::int64_t m_started_at_ms = 0;
    Departure m_departure;
  };

  const Departure* Find(const EndpointId& endpoint,
                        std::int64_t started_at_ms) const;

  std::map<EndpointId, Entry> m_entries;
  std::deque<EndpointId> m_order;  // Oldest first.
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_DEPARTURES_H_
