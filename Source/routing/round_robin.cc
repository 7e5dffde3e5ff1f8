#include "routing/round_robin.h"

namespace hickoryloft::routing {

const EndpointRecord* RoundRobin::Choose(
    std::span<const EndpointRecord* const> candidates,
    const PrefixChain& /*prefix*/,
    MonotonicTime /*now*/,
    RandomEngine& /*random*/) {
  return candidates[m_next++ % candidates.size()];
}

}  // namespace hickoryloft::routing
