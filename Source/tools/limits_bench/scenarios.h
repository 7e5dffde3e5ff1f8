// Failure scenarios for measuring wrongful refusals.

#ifndef SOURCE_TOOLS_LIMITS_BENCH_SCENARIOS_H_
#define SOURCE_TOOLS_LIMITS_BENCH_SCENARIOS_H_

#include <string>
#include <vector>

#include "tools/limits_bench/fleet_simulation.h"

namespace hickoryloft::tools {

struct Scenario {
  std::string m_name;
  // Runs the scenario. Returns the counts per account, without the warm-up.
  std::vector<AccountCounts> (*m_run)(const limits::SharePlan& plan,
                                      const FleetOptions& options);
};

// Returns all scenarios in the order in which they are printed.
const std::vector<Scenario>& Scenarios();

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_LIMITS_BENCH_SCENARIOS_H_
