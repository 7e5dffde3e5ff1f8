#include "membership/group_demand.h"

#include <catch2/catch.hpp>

#include "membership/report_aggregator.h"

using namespace hickoryloft;
using namespace hickoryloft::membership;

namespace {

const placement::ModelDemand::Key kKey{ServiceId("s"), ModelId("m"), {}};
const HostId kLeader("leader");

EngineDemand Demand(int running, int waiting, double arrivals) {
  EngineDemand demand;
  if (running > 0) {
    demand.m_running[{EndpointId("e"), ModelId("m")}] = running;
  }
  demand.m_entries[kKey] = {.m_waiting = waiting, .m_arrivals = arrivals};
  return demand;
}

}  // namespace

TEST_CASE("Levels of a group are summed, arrivals reported once") {
  GroupDemand group;
  const MonotonicTime now{seconds(10)};
  group.BuildReport(kLeader, now);
  group.RecordHost(HostId("a"), Demand(2, 1, 3), now);
  group.RecordHost(HostId("b"), Demand(1, 2, 4), now);
  group.RecordHost(HostId("a"), Demand(1, 1, 2), now);
  const EngineDemand first = group.BuildReport(kLeader, now);
  CHECK(first.m_running.at({EndpointId("e"), ModelId("m")}) == 2);
  CHECK(first.m_entries.at(kKey).m_waiting == 3);
  CHECK(first.m_entries.at(kKey).m_arrivals == 9);
  CHECK(group.BuildReport(kLeader, now).m_entries.at(kKey).m_arrivals == 0);
}

// After the placement leader is killed, its successor must not consider all
// models unused.
TEST_CASE("A new placement leader receives earlier arrivals") {
  GroupDemand group;
  const MonotonicTime now{seconds(10)};
  group.RecordHost(HostId("a"), Demand(0, 0, 8), now);
  group.BuildReport(kLeader, now);
  const MonotonicTime later = now + placement::ModelDemand::kRateTimeConstant;
  const EngineDemand report = group.BuildReport(HostId("next"), later);
  CHECK(report.m_entries.at(kKey).m_arrivals ==
        Approx(8 * 0.3679).epsilon(0.01));
}

TEST_CASE("A silent host's levels are dropped") {
  GroupDemand group;
  const MonotonicTime now{seconds(10)};
  group.RecordHost(HostId("a"), Demand(2, 1, 0), now);
  group.Expire(now + ReportAggregator::kReportTimeout + milliseconds(1));
  const EngineDemand report = group.BuildReport(kLeader, now);
  CHECK(report.m_running.empty());
  CHECK(report.m_entries.empty());
}
