#include "tools/policy_bench/policy_set.h"

#include <memory>

namespace hickoryloft::tools {
namespace {

using namespace placement;

constexpr Duration kFixedKeep = std::chrono::minutes(10);

template <typename Endpoint, typename Order>
Policies WithHistogram() {
  return {.m_endpoint = std::make_unique<Endpoint>(),
          .m_retention =
              std::make_unique<HistogramRetentionPolicy>(kRetentionDefaults),
          .m_load_order = std::make_unique<Order>()};
}

template <typename Endpoint, typename Order>
Policies WithFixedKeep() {
  return {.m_endpoint = std::make_unique<Endpoint>(),
          .m_retention = std::make_unique<FixedRetentionPolicy>(kFixedKeep),
          .m_load_order = std::make_unique<Order>()};
}

}  // namespace

std::vector<PolicySet> AllPolicySets() {
  using Tier = TierAwarePolicy;
  using Least = LeastLoadedPolicy;
  using Deadline = EarliestDeadlinePolicy;
  using First = FirstComePolicy;
  return {
      {"product", "what the daemons run", &WithHistogram<Tier, Deadline>, true},
      {"baseline",
       "fixed keep-alive, least loaded, first come, adapters unlimited",
       &WithFixedKeep<Least, First>, false},
      {"fixed-keep", "product with a fixed keep-alive and LRU",
       &WithFixedKeep<Tier, Deadline>, true},
      {"least-loaded", "product with placement that ignores tiers",
       &WithHistogram<Least, Deadline>, true},
      {"first-come", "product with loads in the order of arrival",
       &WithHistogram<Tier, First>, true},
      {"adapters-unlimited", "product without a limit on adapter loads",
       &WithHistogram<Tier, Deadline>, false}};
}

}  // namespace hickoryloft::tools
