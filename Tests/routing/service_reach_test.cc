// Load: requests for a service none of whose endpoints may be sent any, since
// operators empty its failure domains or its endpoints are in other regions.
// They waited until their deadlines.

#include "routing/service_reach.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::routing;

namespace {

const RegionId kEast("east");
const RegionId kWest("west");
const EndpointPlace kEastUp{.m_region = kEast};
const EndpointPlace kWestUp{.m_region = kWest};
const EndpointPlace kEastEvacuated{.m_region = kEast, .m_evacuated = true};
const EndpointPlace kWestEvacuated{.m_region = kWest, .m_evacuated = true};

}  // namespace

TEST_CASE("A request without homes reaches any endpoint that is left") {
  CHECK(ReachOf({}, {}) == ServiceReach::kUnregistered);
  CHECK(ReachOf({kEastEvacuated, kWestUp}, {}) == ServiceReach::kReachable);
  CHECK(ReachOf({kEastEvacuated, kWestEvacuated}, {}) ==
        ServiceReach::kEvacuated);
  // The region is unknown.
  CHECK(ReachOf({EndpointPlace{}}, {}) == ServiceReach::kReachable);
}

TEST_CASE("The homes of the route and of the account both bind") {
  const HomeRegions both{.m_route = {kEast, kWest}, .m_account = {kWest}};
  CHECK_FALSE(both.Allow(kEast));
  CHECK(both.Allow(kWest));
  CHECK(ReachOf({kEastUp, kWestUp}, both) == ServiceReach::kReachable);
  CHECK(ReachOf({kEastUp}, both) == ServiceReach::kNotAtHome);
  CHECK(ReachOf({kEastUp, kWestEvacuated}, both) == ServiceReach::kEvacuated);
  const HomeRegions apart{.m_route = {kEast}, .m_account = {kWest}};
  CHECK(ReachOf({kEastUp, kWestUp}, apart) == ServiceReach::kNotAtHome);
}

TEST_CASE("An endpoint of an unknown region is in no home") {
  CHECK(ReachOf({EndpointPlace{}}, {.m_route = {kEast}}) ==
        ServiceReach::kNotAtHome);
}
