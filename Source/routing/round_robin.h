// Baseline: round robin over endpoints.

#ifndef SOURCE_ROUTING_ROUND_ROBIN_H_
#define SOURCE_ROUTING_ROUND_ROBIN_H_

#include "routing/endpoint_chooser.h"

namespace hickoryloft::routing {

// Chooses the candidates in turn, regardless of their load.
class RoundRobin : public EndpointChooser {
 public:
  const EndpointRecord* Choose(
      std::span<const EndpointRecord* const> candidates,
      const PrefixChain& prefix,
      MonotonicTime now,
      RandomEngine& random) override;

 private:
  std::size_t m_next = 0;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_ROUND_ROBIN_H_
