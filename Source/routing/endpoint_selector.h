// Chooses the endpoint that a request is sent to.

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
  int m_running = 0;            // Over all hosts.
  bool m_avoided = false;       // It has failed lately.
  bool m_keeps_prefix = false;  // It has read the shared part of the prompt.
};

// What decides besides load, as parts of an endpoint's slots.
struct SelectionWeights {
  // Another failure domain costs latency and traffic between domains.
  double m_other_domain = 0.08;
  // A kept prefix saves reading it again.
  double m_prefix = 0.1;
};

// Returns the index of the candidate with the most room, or -1 if all are
// full: an endpoint's own queue is never used. An avoided endpoint is chosen
// only if there is no other. Equal ones are drawn by `random`, so that hosts
// with the same view do not all choose the same. Not thread-safe.
int SelectEndpoint(const std::vector<Candidate>& candidates,
                   const FailureDomainId& own_domain,
                   const SelectionWeights& weights,
                   RandomEngine& random);

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_ENDPOINT_SELECTOR_H_
