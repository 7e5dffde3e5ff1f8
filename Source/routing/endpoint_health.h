// Which endpoints have failed lately, by the requests sent to them: an
// endpoint's own health check may say nothing of it.

#ifndef SOURCE_ROUTING_ENDPOINT_HEALTH_H_
#define SOURCE_ROUTING_ENDPOINT_HEALTH_H_

#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::routing {

// Avoids an endpoint after failures in a row, for longer each time, and one
// that keeps failing a part of its requests. Not thread-safe; the times given
// must not decrease.
class EndpointHealth {
 public:
  // Avoided for this long after one failure; doubled for each further one.
  static constexpr Duration kFirstPause = milliseconds(500);
  static constexpr Duration kLongestPause = seconds(6);
  // Part of failed requests from which an endpoint is avoided, and the number
  // of requests over which it is taken, about.
  static constexpr double kFailingPart = 0.2;
  static constexpr double kMemory = 12;
  // Failures longer ago than this hardly count: an endpoint that was replaced
  // or mended should be used again.
  static constexpr Duration kForgetTime = seconds(10);

  void RecordSuccess(const EndpointId& endpoint);
  // Returns for how long the endpoint is avoided from now on.
  Duration RecordFailure(const EndpointId& endpoint, MonotonicTime now);
  // As RecordFailure, for a connection that the endpoint refused.
  Duration RecordRefusal(const EndpointId& endpoint, MonotonicTime now);
  // The endpoint wants no requests from this host for `pause`. Outlasts
  // Forget(): the endpoint may be registered again meanwhile.
  void RecordTurnedAway(const EndpointId& endpoint,
                        Duration pause,
                        MonotonicTime now);
  void Forget(const EndpointId& endpoint) { m_records.erase(endpoint); }

  // Whether the endpoint must not be sent requests, even if there is no other.
  bool Closed(const EndpointId& endpoint, MonotonicTime now) const;

  // Whether the endpoint should be used only if there is no other.
  bool Avoided(const EndpointId& endpoint, MonotonicTime now) const;
  // Returns how many hosts' word this host's view counts for: a failure may be
  // due to its own links, a refusal only to the endpoint. 0: not avoided.
  int Witnesses(const EndpointId& endpoint, MonotonicTime now) const;
  // Returns every endpoint that this host avoids, with its Witnesses().
  std::vector<std::pair<EndpointId, int>> AllWitnesses(MonotonicTime now) const;
  // From this many on an endpoint is taken to fail all hosts.
  static constexpr int kDecisiveWitnesses = 2;

 private:
  struct Record {
    int m_failures_in_row = 0;
    bool m_refused = false;  // The last failure was a refusal.
    double m_failed_part = 0;
    MonotonicTime m_failed_at;
    MonotonicTime m_avoid_until;
  };

  std::unordered_map<EndpointId, Record> m_records;
  // Until when an endpoint wants no requests.
  std::unordered_map<EndpointId, MonotonicTime> m_closed_until;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_ENDPOINT_HEALTH_H_
