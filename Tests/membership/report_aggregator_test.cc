#include "membership/report_aggregator.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::membership;

namespace {

const ClientAccountId kAccount("account");
const EndpointId kEndpoint("e1");
const ModelId kModel("m1");

FleetCounts Counts(int running, double admitted) {
  FleetCounts counts;
  counts.m_uses[{kEndpoint, kModel}] = running;
  counts.m_admitted[kAccount] = admitted;
  return counts;
}

}  // namespace

TEST_CASE("Levels are replaced and counts are added up") {
  ReportAggregator sums;
  const MonotonicTime now;
  sums.TakeHost(HostId("a"), 1, 1, Counts(3, 100), now);
  sums.TakeHost(HostId("a"), 1, 2, Counts(2, 150), now);
  sums.TakeHost(HostId("b"), 1, 1, Counts(1, 0), now);
  sums.TakeHost(HostId("b"), 1, 2, Counts(4, 30), now);
  const FleetCounts group = sums.Group();
  CHECK(group.m_uses.at({kEndpoint, kModel}) == 6);
  // The first report only sets a mark.
  CHECK(group.m_admitted.at(kAccount) == 80);
}

TEST_CASE("A restarted host is counted from its new start") {
  ReportAggregator sums;
  const MonotonicTime now;
  sums.TakeHost(HostId("a"), 1, 1, Counts(0, 0), now);
  sums.TakeHost(HostId("a"), 1, 2, Counts(0, 500), now);
  sums.TakeHost(HostId("a"), 2, 1, Counts(0, 0), now);
  sums.TakeHost(HostId("a"), 2, 2, Counts(0, 20), now);
  CHECK(sums.Group().m_admitted.at(kAccount) == 520);
}

TEST_CASE("A report that arrives out of order changes nothing") {
  ReportAggregator sums;
  const MonotonicTime now;
  sums.TakeHost(HostId("a"), 1, 5, Counts(0, 0), now);
  sums.TakeHost(HostId("a"), 1, 7, Counts(2, 70), now);
  sums.TakeHost(HostId("a"), 1, 6, Counts(9, 60), now);
  CHECK(sums.Group().m_uses.at({kEndpoint, kModel}) == 2);
  CHECK(sums.Group().m_admitted.at(kAccount) == 70);
}

TEST_CASE("A partial report leaves levels alone") {
  ReportAggregator sums;
  const MonotonicTime now;
  sums.TakeGroup(HostId("r"), 1, 9, false, Counts(5, 0), now);
  FleetCounts partial;
  partial.m_admitted[kAccount] = 40;
  sums.TakeGroup(HostId("r"), 1, 9, true, partial, now);
  CHECK(sums.Fleet().m_uses.at({kEndpoint, kModel}) == 5);
  CHECK(sums.Fleet().m_admitted.at(kAccount) == 40);
}

TEST_CASE("A silent reporter's levels go, its counts stay") {
  ReportAggregator sums;
  MonotonicTime now;
  sums.TakeHost(HostId("a"), 1, 1, Counts(1, 0), now);
  sums.TakeHost(HostId("a"), 1, 2, Counts(1, 10), now);
  sums.TakeGroup(HostId("r"), 1, 9, false, Counts(5, 0), now);
  CHECK(sums.HeardHosts() == 10);
  now += ReportAggregator::kReportLife + milliseconds(1);
  sums.Expire(now);
  CHECK(sums.HeardHosts() == 0);
  CHECK(sums.Fleet().m_uses.empty());
  CHECK(sums.Fleet().m_admitted.at(kAccount) == 10);
}
