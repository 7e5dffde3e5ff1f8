// Baseline: chooses the endpoint with the lowest reported load.

#ifndef SOURCE_ROUTING_LEAST_REPORTED_LOAD_H_
#define SOURCE_ROUTING_LEAST_REPORTED_LOAD_H_

#include "routing/endpoint_chooser.h"
#include "routing/load_tracker.h"

namespace hickoryloft::routing {

// Uses the last report without correcting it for later calls. `loads` must
// outlive the chooser.
class LeastReportedLoad : public EndpointChooser {
 public:
  explicit LeastReportedLoad(const LoadTracker& loads) : m_loads(loads) {}

  const EndpointRecord* Choose(
      std::span<const EndpointRecord* const> candidates,
      const PrefixChain& prefix,
      MonotonicTime now,
      RandomEngine& random) override;

 private:
  const LoadTracker& m_loads;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_LEAST_REPORTED_LOAD_H_
