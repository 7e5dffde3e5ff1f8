// Interface for choosing the endpoint of a request.

#ifndef SOURCE_ROUTING_ENDPOINT_CHOOSER_H_
#define SOURCE_ROUTING_ENDPOINT_CHOOSER_H_

#include <span>

#include "base/random.h"
#include "base/time.h"
#include "routing/endpoint_table.h"
#include "routing/prefix_chain.h"

namespace hickoryloft::routing {

// Chooses among endpoints that can all answer the request. Not thread-safe.
class EndpointChooser {
 public:
  virtual ~EndpointChooser() = default;

  // Returns one of `candidates`. Precondition: `candidates` is not empty.
  virtual const EndpointRecord* Choose(
      std::span<const EndpointRecord* const> candidates,
      const PrefixChain& prefix,
      MonotonicTime now,
      RandomEngine& random) = 0;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_ENDPOINT_CHOOSER_H_
