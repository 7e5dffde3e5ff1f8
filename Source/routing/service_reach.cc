#include "routing/service_reach.h"

#include <algorithm>

namespace hickoryloft::routing {

ServiceReach ReachOf(const std::vector<EndpointPlace>& places,
                     const HomeRegions& homes) {
  if (places.empty()) {
    return ServiceReach::kUnregistered;
  }
  const auto at_home = [&](const EndpointPlace& place) {
    return homes.Allow(place.m_region);
  };
  if (std::none_of(places.begin(), places.end(), at_home)) {
    return ServiceReach::kNotAtHome;
  }
  const bool all_evacuated = std::all_of(
      places.begin(), places.end(),
      [&](const auto& place) { return place.m_evacuated || !at_home(place); });
  return all_evacuated ? ServiceReach::kEvacuated : ServiceReach::kReachable;
}

}  // namespace hickoryloft::routing
