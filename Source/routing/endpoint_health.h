// Detects failing endpoints by the results of the requests sent to them, since
// an endpoint's own health check may pass while its requests fail.

#ifndef SOURCE_ROUTING_ENDPOINT_HEALTH_H_
#define SOURCE_ROUTING_ENDPOINT_HEALTH_H_

#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::routing {

// Avoids an endpoint after consecutive failures, with an exponential backoff,
// and also one that keeps failing a fraction of its requests. Not thread-safe;
// the times passed in must not decrease.
class EndpointHealth {
 public:
  // How long an endpoint is avoided after one failure; doubled for each further
  // consecutive one.
  static constexpr Duration kFirstPause = milliseconds(500);
  static constexpr Duration kMaxPause = seconds(6);
  // An endpoint is avoided for kMaxPause if it fails more than this
  // fraction of its requests, averaged over about kAveragedRequests requests.
  static constexpr double kMaxFailureRate = 0.2;
  static constexpr double kAveragedRequests = 12;
  // Time constant with which past failures decay, so that an endpoint that was
  // replaced or repaired is used again.
  static constexpr Duration kFailureDecayTime = seconds(10);

  void RecordSuccess(const EndpointId& endpoint);
  // Returns for how long the endpoint is avoided from now on.
  Duration RecordFailure(const EndpointId& endpoint, MonotonicTime now);
  // As RecordFailure, for a connection that the endpoint refused.
  Duration RecordRefusal(const EndpointId& endpoint, MonotonicTime now);
  // Records that the endpoint asked to get no requests from this host for
  // `pause`. Forget() does not clear this, because the endpoint may register
  // again before the pause is over.
  void RecordBackoff(const EndpointId& endpoint,
                     Duration pause,
                     MonotonicTime now);
  void Forget(const EndpointId& endpoint) { m_records.erase(endpoint); }

  // Returns whether the endpoint must not be sent requests, even if there is no
  // other.
  bool InBackoff(const EndpointId& endpoint, MonotonicTime now) const;

  // Returns whether the endpoint should be used only if there is no other.
  bool Avoided(const EndpointId& endpoint, MonotonicTime now) const;
  // Returns this host's votes that the endpoint fails, or 0 if it does not
  // avoid it. A failure counts as one vote, since it may be due to this host's
  // network; a refused connection counts as kDecisiveVotes votes, since it
  // can only be due to the endpoint.
  int FailureVotes(const EndpointId& endpoint, MonotonicTime now) const;
  // Returns all endpoints that this host avoids, with their FailureVotes().
  std::vector<std::pair<EndpointId, int>> AllFailureVotes(
      MonotonicTime now) const;
  // With this many votes from all hosts together, the endpoint is assumed to
  // fail for every host.
  static constexpr int kDecisiveVotes = 2;

 private:
  struct Record {
    int m_consecutive_failures = 0;
    bool m_refused = false;  // The last failure was a refusal.
    double m_failure_rate = 0;
    MonotonicTime m_failed_at;
    MonotonicTime m_avoid_until;
  };

  std::unordered_map<EndpointId, Record> m_records;
  // Time until which an endpoint asked to get no requests.
  std::unordered_map<EndpointId, MonotonicTime> m_backoff_until;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_ENDPOINT_HEALTH_H_
