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
  std::function<placement::Policies()> m_make;
  bool m_limit_adapters = true;  // Keeps adapter loads below the store's knee.
};

// Returns all sets: the product's policies, the baselines together, and the
// product's with one baseline each. Thread-safe.
std::vector<PolicySet> AllPolicySets();

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_POLICY_BENCH_POLICY_SET_H_
