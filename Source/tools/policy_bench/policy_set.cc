#include "tools/policy_bench/policy_set.h"

#include <memory>

namespace hickoryloft::tools {
namespace {

using namespace placement;

constexpr Duration kFixedRetentionTime = std::chrono::minutes(10);

template <typename Endpoint, typename Order>
Policies WithHistogramRetention() {
  return {.m_endpoint = std::make_unique<Endpoint>(),
          .m_retention =
              std::make_unique<HistogramRetentionPolicy>(kRetentionDefaults),
          .m_load_order = std::make_unique<Order>()};
}

template <typename Endpoint, typename Order>
Policies WithFixedRetention() {
  return {.m_endpoint = std::make_unique<Endpoint>(),
          .m_retention =
              std::make_unique<FixedRetentionPolicy>(kFixedRetentionTime),
          .m_load_order = std::make_unique<Order>()};
}

}  // namespace

std::vector<PolicySet> AllPolicySets() {
  using Tier = TierAwarePolicy;
  using Least = LeastLoadedPolicy;
  using Deadline = EarliestDeadlinePolicy;
  using First = FirstComePolicy;
  return {{"product", "what the daemons run",
           &WithHistogramRetention<Tier, Deadline>, true},
          {"baseline",
           "fixed keep-alive, least loaded, first come, adapters unlimited",
           &WithFixedRetention<Least, First>, false},
          {"fixed-keep", "product with a fixed keep-alive and LRU",
           &WithFixedRetention<Tier, Deadline>, true},
          {"least-loaded", "product with placement that ignores tiers",
           &WithHistogramRetention<Least, Deadline>, true},
          {"first-come", "product with loads in the order of arrival",
           &WithHistogramRetention<Tier, First>, true},
          {"adapters-unlimited", "product without a limit on adapter loads",
           &WithHistogramRetention<Tier, Deadline>, false}};
}

}  // namespace hickoryloft::tools
