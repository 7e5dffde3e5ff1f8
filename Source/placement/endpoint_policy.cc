#include "placement/endpoint_policy.h"

#include <algorithm>
#include <tuple>

namespace hickoryloft::placement {
namespace {

// Approximate delay of a new replica's first answers by each request that is
// waiting or running on the engine.
constexpr double kSecondsPerRequest = 0.02;
// The delay that is accepted to avoid a failure domain with another replica.
constexpr double kSecondsPerSharedDomain = 0.25;

double Cost(const EndpointOption& option) {
  const double load_seconds =
      ToSeconds(option.m_load_time) * (1 + option.m_loads_in_progress);
  const double requests = option.m_view->m_waiting + option.m_view->m_running;
  return load_seconds + kSecondsPerRequest * requests +
         kSecondsPerSharedDomain * option.m_replicas_in_domain;
}

template <typename Less>
std::optional<std::size_t> Best(std::span<const EndpointOption> options,
                                Less less) {
  if (options.empty()) {
    return std::nullopt;
  }
  const auto best = std::min_element(options.begin(), options.end(), less);
  return static_cast<std::size_t>(best - options.begin());
}

}  // namespace

std::optional<std::size_t> TierAwarePolicy::Choose(
    std::span<const EndpointOption> options) const {
  const auto less = [](const EndpointOption& left,
                       const EndpointOption& right) {
    return std::make_tuple(Cost(left), right.m_free_bytes) <
           std::make_tuple(Cost(right), left.m_free_bytes);
  };
  return Best(options, less);
}

std::optional<std::size_t> LeastLoadedPolicy::Choose(
    std::span<const EndpointOption> options) const {
  const auto less = [](const EndpointOption& left,
                       const EndpointOption& right) {
    const auto requests = [](const EndpointOption& option) {
      return option.m_view->m_waiting + option.m_view->m_running;
    };
    return std::make_tuple(requests(left), right.m_free_bytes) <
           std::make_tuple(requests(right), left.m_free_bytes);
  };
  return Best(options, less);
}

}  // namespace hickoryloft::placement
