#include "routing/service_reach.h"

#include <algorithm>

namespace hickoryloft::routing {

ServiceReach ReachOf(const std::vector<EndpointPlace>& places,
                     const HomeRegions& homes) {
  if (places.empty()) {
    return ServiceReach::kUnregistered;
  }
  const auto any = [&](auto&& matches) {
    return std::any_of(places.begin(), places.end(), matches);
  };
  if (any([&](const auto& place) { return IsEligible(place, homes); })) {
    return ServiceReach::kReachable;
  }
  const bool at_home =
      any([&](const auto& place) { return homes.Allow(place.m_region); });
  return at_home ? ServiceReach::kEvacuated : ServiceReach::kNotAtHome;
}

}  // namespace hickoryloft::routing
