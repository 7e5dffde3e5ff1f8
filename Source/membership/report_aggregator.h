// The sums that a relay keeps of its group and of the fleet.

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

// Keeps running sums, so that a report costs what it names and not what the
// fleet has. Not thread-safe; the times given must not decrease.
class ReportAggregator {
 public:
  // A reporter that has not been heard for this long is silent: a few report
  // intervals.
  static constexpr Duration kReportLife = milliseconds(900);

  // The report `number` of a host of this group, which may be the relay itself.
  // Returns whether it was taken: an older one than the last is not.
  bool TakeHost(const HostId& host,
                std::uint64_t epoch,
                std::uint64_t number,
                FleetCounts counts,
                MonotonicTime now);
  // The sums of another group. A partial report holds admitted tokens only.
  void TakeGroup(const HostId& relay,
                 std::uint64_t epoch,
                 std::size_t hosts,
                 bool partial,
                 FleetCounts counts,
                 MonotonicTime now);

  // Drops the levels of silent reporters. Counts are kept.
  void Expire(MonotonicTime now);

  // Sums over this group.
  FleetCounts Group() const;
  // Sums over all groups.
  FleetCounts Fleet() const;
  // Tokens admitted, over this group and over all.
  const std::map<ClientAccountId, double>& GroupAdmitted() const {
    return m_group_sums.m_admitted;
  }
  std::map<ClientAccountId, double> FleetAdmitted() const;
  // The last report of each host of this group.
  std::map<HostId, std::uint64_t> Included() const;
  // Hosts of this group that have been heard lately.
  std::size_t GroupHosts() const { return m_hosts.size(); }
  // Hosts heard lately, directly or through their relay.
  std::size_t HeardHosts() const;

 private:
  struct Reporter {
    std::uint64_t m_epoch = 0;
    std::uint64_t m_number = 0;
    std::size_t m_hosts = 1;
    MonotonicTime m_heard_at;
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

  // Takes a report into `reporters` and its differences from the last one into
  // `sums`.
  static bool Take(Reporters& reporters,
                   const HostId& name,
                   Reporter report,
                   bool partial,
                   Sums& sums);
  static void AddLevels(const EndpointLevels& levels,
                        int sign,
                        LevelSums& sums);
  // Adds the word of leaving endpoints that `reporters` have last given. Each
  // host repeats it as long as the endpoint is registered.
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
