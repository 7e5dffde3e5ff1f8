// Whether a request can be sent to any endpoint of its service.

#ifndef SOURCE_ROUTING_SERVICE_REACH_H_
#define SOURCE_ROUTING_SERVICE_REACH_H_

#include <set>
#include <vector>

#include "base/ids.h"

namespace hickoryloft::routing {

// The regions that a request's route and account allow; empty: all.
struct HomeRegions {
  std::set<RegionId> m_route;
  std::set<RegionId> m_account;

  // Thread-safe.
  bool AllowAll() const { return m_route.empty() && m_account.empty(); }
  // Returns whether both allow `region`, which is empty if it is unknown.
  // Thread-safe.
  bool Allow(const RegionId& region) const {
    const auto contains = [&](const std::set<RegionId>& homes) {
      return homes.empty() || homes.contains(region);
    };
    return contains(m_route) && contains(m_account);
  }
};

// Where an endpoint is.
struct EndpointPlace {
  RegionId m_region;
  bool m_evacuated = false;  // Its failure domain gets no requests.
};

// Returns whether an endpoint at `place` may be sent a request with `homes`.
// Thread-safe.
inline bool IsEligible(const EndpointPlace& place, const HomeRegions& homes) {
  return !place.m_evacuated && homes.Allow(place.m_region);
}

enum class ServiceReach {
  kReachable,     // Some endpoint may be sent the request.
  kUnregistered,  // The service has no endpoints now.
  kEvacuated,     // All endpoints in allowed regions are evacuated.
  kNotAtHome,     // No endpoint is in an allowed region.
};

// Returns whether a request with `homes` can be sent to a service with
// endpoints at `places`. A request that cannot should be refused at once: only
// an operator changes that, so waiting does not help. Thread-safe.
ServiceReach ReachOf(const std::vector<EndpointPlace>& places,
                     const HomeRegions& homes);

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_SERVICE_REACH_H_
