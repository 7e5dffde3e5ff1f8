// Chooses the endpoint of a request by load, failure domain and prompt prefix.

#ifndef SOURCE_ROUTING_ENDPOINT_SELECTOR_H_
#define SOURCE_ROUTING_ENDPOINT_SELECTOR_H_

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

namespace hickoryloft::routing {

// One endpoint that could serve a request.
struct Candidate {
  EndpointId m_endpoint;
  FailureDomainId m_failure_domain;
  int m_slots = 1;
  int m_running = 0;          // Requests in progress, from all hosts.
  bool m_avoided = false;     // EndpointHealth::Avoided().
  bool m_has_prefix = false;  // It has cached the prompt's prefix.
};

// Weights of the criteria besides load, as fractions of an endpoint's slots.
struct SelectionWeights {
  // Cost of another failure domain: latency and traffic between domains.
  double m_other_domain = 0.08;
  // Benefit of a cached prefix, which need not be processed again.
  double m_prefix = 0.1;
};

// Returns the index of the candidate with the lowest cost, or -1 if all slots
// of all candidates are in use: an endpoint's own queue is never used. An
// avoided endpoint is chosen only if there is no other. `random` decides
// between candidates of about equal cost, so that hosts with the same view do
// not all choose the same endpoint. Not thread-safe.
int SelectEndpoint(const std::vector<Candidate>& candidates,
                   const FailureDomainId& own_domain,
                   const SelectionWeights& weights,
                   RandomEngine& random);

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_ENDPOINT_SELECTOR_H_
