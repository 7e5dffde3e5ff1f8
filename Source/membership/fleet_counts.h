// Sums that hosts report to each other.

#ifndef SOURCE_MEMBERSHIP_FLEET_COUNTS_H_
#define SOURCE_MEMBERSHIP_FLEET_COUNTS_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "placement/model_demand.h"
#include "routing/fleet_load.h"

namespace hickoryloft::membership {

using routing::EndpointLevels;

// Levels (running, avoided) are as of the report; admitted tokens run since the
// start of the reporter's epoch. Value type.
struct FleetCounts {
  // Requests in progress.
  EndpointLevels m_running;
  // Tokens admitted, by account.
  std::map<ClientAccountId, double> m_admitted;
  // Hosts whose requests an endpoint failed lately.
  EndpointLevels m_avoided;
  // Endpoints that have said that they leave, with the Unix time in
  // milliseconds at which the leaving incarnation started.
  std::map<EndpointId, std::int64_t> m_leaving;
};

// What only the giver of orders needs to know of hosts. Value type.
struct EngineDemand {
  struct Want {
    int m_waiting = 0;      // Level.
    double m_arrivals = 0;  // Since the report before.
  };
  // Requests in progress, by endpoint and model. Levels.
  std::map<std::pair<EndpointId, ModelId>, int> m_uses;
  std::map<placement::ModelDemand::Key, Want> m_wants;
};

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_FLEET_COUNTS_H_
