// The failures under which wrongful refusals are measured.

#ifndef SOURCE_TOOLS_LIMITS_BENCH_SCENARIOS_H_
#define SOURCE_TOOLS_LIMITS_BENCH_SCENARIOS_H_

#include <string>
#include <vector>

#include "tools/limits_bench/fleet_simulation.h"

namespace hickoryloft::tools {

struct Scenario {
  std::string m_name;
  // Runs the scenario and returns the counts over its measured time.
  std::vector<AccountCounts> (*m_run)(const limits::SharePlan& plan,
                                      const FleetOptions& options);
};

// All scenarios, in the order of the table.
const std::vector<Scenario>& Scenarios();

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_LIMITS_BENCH_SCENARIOS_H_
