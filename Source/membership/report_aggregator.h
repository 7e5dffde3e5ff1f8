// Sums of reports over a relay's group and over the fleet.

#ifndef SOURCE_MEMBERSHIP_REPORT_AGGREGATOR_H_
#define SOURCE_MEMBERSHIP_REPORT_AGGREGATOR_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "membership/fleet_counts.h"

namespace hickoryloft::membership {

// Keeps running sums, so that the cost of a report depends on the size of the
// report and not on that of the fleet. Not thread-safe; the times passed in
// must not decrease.
class ReportAggregator {
 public:
  // A reporter without a report for this long, a few report intervals, is
  // silent.
  static constexpr Duration kReportTimeout = milliseconds(900);

  // Records report `number` of a host of this group, which may be the relay
  // itself. Returns false, and changes nothing, if it is older than the last
  // one of its epoch.
  bool RecordHost(const HostId& host,
                  std::uint64_t epoch,
                  std::uint64_t number,
                  FleetCounts counts,
                  MonotonicTime now);
  // Records the sums of another group. A partial report contains admitted
  // tokens only.
  void RecordGroup(const HostId& relay,
                   std::uint64_t epoch,
                   std::size_t hosts,
                   bool partial,
                   FleetCounts counts,
                   MonotonicTime now);

  // Drops the levels of silent reporters. Their admitted tokens stay in the
  // sums.
  void Expire(MonotonicTime now);

  // Returns the sums over this group.
  FleetCounts Group() const;
  // Returns the sums over all groups.
  FleetCounts Fleet() const;
  // Return the tokens admitted in this group and in all groups.
  const std::map<ClientAccountId, double>& GroupAdmitted() const {
    return m_group_sums.m_admitted;
  }
  std::map<ClientAccountId, double> FleetAdmitted() const;
  // Returns the number of the last report that was recorded of each host of
  // this group.
  std::map<HostId, std::uint64_t> Included() const;
  // Returns the number of hosts of this group that are not silent.
  std::size_t GroupHosts() const { return m_hosts.size(); }
  // Returns the number of hosts that are not silent, including those that
  // report through another relay.
  std::size_t ReportingHosts() const;

 private:
  struct Reporter {
    std::uint64_t m_epoch = 0;
    std::uint64_t m_number = 0;
    std::size_t m_hosts = 1;
    MonotonicTime m_received_at;
    FleetCounts m_counts;
  };
  using Reporters = std::map<HostId, Reporter>;
  using LevelSums = std::unordered_map<routing::EndpointKey, int>;
  struct Sums {
    LevelSums m_running;
    LevelSums m_avoided;
    // Since this aggregator's start.
    std::map<ClientAccountId, double> m_admitted;
  };

  // Stores a report in `reporters`, and adds its differences from the previous
  // one to `sums`. Returns false if the report is older than the previous one.
  static bool Record(Reporters& reporters,
                     const HostId& name,
                     Reporter report,
                     bool partial,
                     Sums& sums);
  static void AddLevels(const EndpointLevels& levels,
                        int sign,
                        LevelSums& sums);
  // Adds the leaving endpoints of the last reports of `reporters`. Each host
  // reports a leaving endpoint as long as the endpoint is registered.
  static void AddLeaving(const Reporters& reporters, FleetCounts& counts);
  static void ExpireReporters(Reporters& reporters,
                              MonotonicTime now,
                              Sums& sums);

  Reporters m_hosts;
  Reporters m_groups;
  Sums m_group_sums;
  Sums m_other_sums;
};

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_REPORT_AGGREGATOR_H_
