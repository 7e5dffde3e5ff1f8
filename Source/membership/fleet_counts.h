// Sums that hosts report to each other.

#ifndef SOURCE_MEMBERSHIP_FLEET_COUNTS_H_
#define SOURCE_MEMBERSHIP_FLEET_COUNTS_H_

#include <cstdint>
#include <map>
#include <utility>

#include "base/ids.h"
#include "placement/model_demand.h"

namespace hickoryloft::membership {

// Levels (uses, waiting, avoided) are as of the report; counts (arrivals,
// admitted) run since the start of the reporter's epoch. Value type.
struct FleetCounts {
  struct Want {
    int m_waiting = 0;
    std::uint64_t m_arrivals = 0;
  };

  // Requests in progress, by endpoint and model.
  std::map<std::pair<EndpointId, ModelId>, int> m_uses;
  std::map<placement::ModelDemand::Key, Want> m_wants;
  // Tokens admitted, by account.
  std::map<ClientAccountId, double> m_admitted;
  // Hosts whose requests an endpoint failed lately.
  std::map<EndpointId, int> m_avoided;
};

// Adds the levels of `part` to `sum`; the counts are left alone.
inline void AddLevels(const FleetCounts& part, FleetCounts& sum) {
  for (const auto& [key, running] : part.m_uses) {
    sum.m_uses[key] += running;
  }
  for (const auto& [key, want] : part.m_wants) {
    sum.m_wants[key].m_waiting += want.m_waiting;
  }
  for (const auto& [endpoint, witnesses] : part.m_avoided) {
    sum.m_avoided[endpoint] += witnesses;
  }
}

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_FLEET_COUNTS_H_
