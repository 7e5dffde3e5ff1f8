#include "routing/least_reported_load.h"

namespace hickoryloft::routing {

const EndpointRecord* LeastReportedLoad::Choose(
    std::span<const EndpointRecord* const> candidates,
    const PrefixChain& /*prefix*/,
    MonotonicTime /*now*/,
    RandomEngine& /*random*/) {
  const EndpointRecord* best = candidates.front();
  for (const EndpointRecord* candidate : candidates.subspan(1)) {
    if (m_loads.ReportedLoad(candidate->m_id) <
        m_loads.ReportedLoad(best->m_id)) {
      best = candidate;
    }
  }
  return best;
}

}  // namespace hickoryloft::routing
