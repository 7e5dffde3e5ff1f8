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
    demand.m_uses[{EndpointId("e"), ModelId("m")}] = running;
  }
  demand.m_wants[kKey] = {.m_waiting = waiting, .m_arrivals = arrivals};
  return demand;
}

}  // namespace

TEST_CASE("Levels of a group are summed, arrivals reported once") {
  GroupDemand group;
  const MonotonicTime now{seconds(10)};
  group.Report(kLeader, now);
  group.TakeHost(HostId("a"), Demand(2, 1, 3), now);
  group.TakeHost(HostId("b"), Demand(1, 2, 4), now);
  group.TakeHost(HostId("a"), Demand(1, 1, 2), now);
  const EngineDemand first = group.Report(kLeader, now);
  CHECK(first.m_uses.at({EndpointId("e"), ModelId("m")}) == 2);
  CHECK(first.m_wants.at(kKey).m_waiting == 3);
  CHECK(first.m_wants.at(kKey).m_arrivals == 9);
  CHECK(group.Report(kLeader, now).m_wants.at(kKey).m_arrivals == 0);
}

// After the placement leader is killed, its successor must not consider all
// models unused.
TEST_CASE("A new placement leader receives earlier arrivals") {
  GroupDemand group;
  const MonotonicTime now{seconds(10)};
  group.TakeHost(HostId("a"), Demand(0, 0, 8), now);
  group.Report(kLeader, now);
  const MonotonicTime later = now + placement::ModelDemand::kRateMemory;
  const EngineDemand report = group.Report(HostId("next"), later);
  CHECK(report.m_wants.at(kKey).m_arrivals == Approx(8 * 0.3679).epsilon(0.01));
}

TEST_CASE("A silent host's levels are dropped") {
  GroupDemand group;
  const MonotonicTime now{seconds(10)};
  group.TakeHost(HostId("a"), Demand(2, 1, 0), now);
  group.Expire(now + ReportAggregator::kReportLife + milliseconds(1));
  const EngineDemand report = group.Report(kLeader, now);
  CHECK(report.m_uses.empty());
  CHECK(report.m_wants.empty());
}
