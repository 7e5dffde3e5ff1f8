// Counters and levels that hosts exchange in their periodic reports.

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

// Load and admission figures of one host, of a group or of the fleet. Levels
// (running, avoided) are as of the report; admitted tokens are counted from the
// start of the reporter's epoch. Value type.
struct FleetCounts {
  // Requests in progress.
  EndpointLevels m_running;
  // Tokens admitted, by account.
  std::map<ClientAccountId, double> m_admitted;
  // EndpointHealth::FailureVotes() by endpoint, summed over hosts.
  EndpointLevels m_avoided;
  // Endpoints that have announced that they are leaving, with the Unix time in
  // milliseconds at which the leaving incarnation started.
  std::map<EndpointId, std::int64_t> m_leaving;
};

// Demand for models, which hosts report to the placement leader only. Value
// type.
struct EngineDemand {
  struct DemandEntry {
    int m_waiting = 0;      // Requests that wait now.
    double m_arrivals = 0;  // Requests since the previous report.
  };
  // Requests in progress now, by endpoint and model.
  std::map<std::pair<EndpointId, ModelId>, int> m_running;
  std::map<placement::ModelDemand::Key, DemandEntry> m_entries;
};

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_FLEET_COUNTS_H_
