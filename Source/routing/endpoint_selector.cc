#include "routing/endpoint_selector.h"

#include <limits>

namespace hickoryloft::routing {

namespace {

// Greater than any fraction of slots in use.
constexpr double kAvoidedCost = 100;
// Chooses randomly among candidates whose loads differ by less than the
// accuracy of load reports.
constexpr double kJitter = 0.02;

}  // namespace

int SelectEndpoint(const std::vector<Candidate>& candidates,
                   const FailureDomainId& own_domain,
                   const SelectionWeights& weights,
                   RandomEngine& random) {
  std::uniform_real_distribution<double> jitter(0, kJitter);
  int best = -1;
  double best_cost = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    if (candidate.m_running >= candidate.m_slots) {
      continue;
    }
    double cost = static_cast<double>(candidate.m_running) /
                      static_cast<double>(candidate.m_slots) +
                  jitter(random);
    cost +=
        candidate.m_failure_domain == own_domain ? 0 : weights.m_other_domain;
    cost -= candidate.m_has_prefix ? weights.m_prefix : 0;
    cost += candidate.m_avoided ? kAvoidedCost : 0;
    if (cost < best_cost) {
      best_cost = cost;
      best = static_cast<int>(i);
    }
  }
  return best;
}

}  // namespace hickoryloft::routing
