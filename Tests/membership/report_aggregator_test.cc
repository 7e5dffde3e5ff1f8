#include "membership/report_aggregator.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::membership;

namespace {

const ClientAccountId kAccount("account");
const EndpointId kEndpoint("e1");

FleetCounts Counts(int running, double admitted) {
  FleetCounts counts;
  counts.m_running = {{routing::KeyOf(kEndpoint), running}};
  counts.m_admitted[kAccount] = admitted;
  return counts;
}

int Running(const FleetCounts& counts) {
  for (const auto& [endpoint, running] : counts.m_running) {
    if (endpoint == routing::KeyOf(kEndpoint)) {
      return running;
    }
  }
  return 0;
}

}  // namespace

TEST_CASE("Levels are replaced and counts are added up") {
  ReportAggregator sums;
  const MonotonicTime now;
  sums.RecordHost(HostId("a"), 1, 1, Counts(3, 100), now);
  sums.RecordHost(HostId("a"), 1, 2, Counts(2, 150), now);
  sums.RecordHost(HostId("b"), 1, 1, Counts(1, 0), now);
  sums.RecordHost(HostId("b"), 1, 2, Counts(4, 30), now);
  const FleetCounts group = sums.Group();
  CHECK(Running(group) == 6);
  // The first report only sets the baseline.
  CHECK(group.m_admitted.at(kAccount) == 80);
}

TEST_CASE("The counts of a restarted host start a new epoch") {
  ReportAggregator sums;
  const MonotonicTime now;
  sums.RecordHost(HostId("a"), 1, 1, Counts(0, 0), now);
  sums.RecordHost(HostId("a"), 1, 2, Counts(0, 500), now);
  sums.RecordHost(HostId("a"), 2, 1, Counts(0, 0), now);
  sums.RecordHost(HostId("a"), 2, 2, Counts(0, 20), now);
  CHECK(sums.Group().m_admitted.at(kAccount) == 520);
}

TEST_CASE("A report that arrives out of order changes nothing") {
  ReportAggregator sums;
  const MonotonicTime now;
  CHECK(sums.RecordHost(HostId("a"), 1, 5, Counts(0, 0), now));
  CHECK(sums.RecordHost(HostId("a"), 1, 7, Counts(2, 70), now));
  CHECK_FALSE(sums.RecordHost(HostId("a"), 1, 6, Counts(9, 60), now));
  CHECK(Running(sums.Group()) == 2);
  CHECK(sums.Group().m_admitted.at(kAccount) == 70);
}

TEST_CASE("A partial report does not change levels") {
  ReportAggregator sums;
  const MonotonicTime now;
  sums.RecordGroup(HostId("r"), 1, 9, false, Counts(5, 0), now);
  FleetCounts partial;
  partial.m_admitted[kAccount] = 40;
  sums.RecordGroup(HostId("r"), 1, 9, true, partial, now);
  CHECK(Running(sums.Fleet()) == 5);
  CHECK(sums.Fleet().m_admitted.at(kAccount) == 40);
}

TEST_CASE("A silent reporter's levels are dropped, its counts are kept") {
  ReportAggregator sums;
  MonotonicTime now;
  sums.RecordHost(HostId("a"), 1, 1, Counts(1, 0), now);
  sums.RecordHost(HostId("a"), 1, 2, Counts(1, 10), now);
  sums.RecordGroup(HostId("r"), 1, 9, false, Counts(5, 0), now);
  CHECK(Running(sums.Fleet()) == 6);
  CHECK(sums.ReportingHosts() == 10);
  now += ReportAggregator::kReportTimeout + milliseconds(1);
  sums.Expire(now);
  CHECK(sums.ReportingHosts() == 0);
  CHECK(sums.Fleet().m_running.empty());
  CHECK(sums.Fleet().m_admitted.at(kAccount) == 10);
}

// A server announces in its answer to a single host that it is leaving. All
// hosts must receive this.
TEST_CASE("Leaving endpoints are reported to all groups") {
  ReportAggregator sums;
  MonotonicTime now;
  FleetCounts counts;
  counts.m_leaving[kEndpoint] = 5;
  sums.RecordHost(HostId("a"), 1, 1, counts, now);
  counts.m_leaving[kEndpoint] = 7;
  sums.RecordGroup(HostId("r"), 1, 9, false, counts, now);
  CHECK(sums.Group().m_leaving.at(kEndpoint) == 5);
  CHECK(sums.Fleet().m_leaving.at(kEndpoint) == 7);
  // Partial reports contain no leaving endpoints.
  sums.RecordGroup(HostId("r"), 1, 9, true, {}, now);
  CHECK(sums.Fleet().m_leaving.at(kEndpoint) == 7);
  // It is dropped once the hosts no longer report it.
  counts.m_leaving.clear();
  sums.RecordHost(HostId("a"), 1, 2, counts, now);
  sums.RecordGroup(HostId("r"), 1, 9, false, counts, now);
  CHECK(sums.Fleet().m_leaving.empty());
}
