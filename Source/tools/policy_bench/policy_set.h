// The named sets of policies that the bench compares.

#ifndef SOURCE_TOOLS_POLICY_BENCH_POLICY_SET_H_
#define SOURCE_TOOLS_POLICY_BENCH_POLICY_SET_H_

#include <functional>
#include <string>
#include <vector>

#include "placement/shard.h"

namespace hickoryloft::tools {

struct PolicySet {
  std::string m_name;
  std::string m_help;
  std::function<placement::Policies()> m_make_policies;
  // Limits concurrent adapter loads to the number that the store serves at full
  // speed.
  bool m_limit_adapters = true;
};

// Returns all sets: the production policies, all baselines combined, and the
// production policies with one of them replaced by its baseline. Thread-safe.
std::vector<PolicySet> AllPolicySets();

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_POLICY_BENCH_POLICY_SET_H_
