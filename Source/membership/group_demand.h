// The demand for models in a relay's group, as reported to the placement
// leader.

#ifndef SOURCE_MEMBERSHIP_GROUP_DEMAND_H_
#define SOURCE_MEMBERSHIP_GROUP_DEMAND_H_

#include <map>

#include "base/ids.h"
#include "base/time.h"
#include "membership/fleet_counts.h"

namespace hickoryloft::membership {

// Sums the levels of the group's hosts, and accumulates arrivals until they are
// reported. Not thread-safe; the times passed in must not decrease.
class GroupDemand {
 public:
  // Records a host's report. Its arrivals are counted from the host's previous
  // report.
  void RecordHost(const HostId& host,
                  const EngineDemand& demand,
                  MonotonicTime now);
  // Drops the levels of hosts whose last report is older than
  // ReportAggregator::kReportTimeout.
  void Expire(MonotonicTime now);

  // Returns the report to the placement leader `leader`. The first report to a
  // leader contains the decayed sum of earlier arrivals, so that a new leader
  // has the demand at once.
  EngineDemand BuildReport(const HostId& leader, MonotonicTime now);

 private:
  struct Host {
    MonotonicTime m_received_at;
    EngineDemand m_demand;
  };
  struct Arrivals {
    double m_unreported = 0;
    double m_decayed = 0;  // Decays like the leader's rates.
    MonotonicTime m_updated_at;
  };

  std::map<HostId, Host> m_hosts;
  std::map<placement::ModelDemand::Key, Arrivals> m_arrivals;
  HostId m_leader;
};

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_GROUP_DEMAND_H_
