// The sums that a relay keeps of its group and of the fleet.

#ifndef SOURCE_MEMBERSHIP_REPORT_AGGREGATOR_H_
#define SOURCE_MEMBERSHIP_REPORT_AGGREGATOR_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "membership/fleet_counts.h"

namespace hickoryloft::membership {

// Not thread-safe; the times given must not decrease.
class ReportAggregator {
 public:
  // A reporter that has not been heard for this long is silent: a few report
  // intervals.
  static constexpr Duration kReportLife = milliseconds(900);

  // The report `number` of a host of this group, which may be the relay itself.
  void TakeHost(const HostId& host,
                std::uint64_t epoch,
                std::uint64_t number,
                const FleetCounts& counts,
                MonotonicTime now);
  // The sums of another group. A partial report holds admitted tokens only.
  void TakeGroup(const HostId& relay,
                 std::uint64_t epoch,
                 std::size_t hosts,
                 bool partial,
                 const FleetCounts& counts,
                 MonotonicTime now);

  // Drops the levels of silent reporters. Counts are kept.
  void Expire(MonotonicTime now);

  // Sums over this group.
  FleetCounts Group() const;
  // Sums over all groups.
  FleetCounts Fleet() const;
  // The last report of each host of this group.
  std::map<HostId, std::uint64_t> Included() const;
  // Hosts heard lately, directly or through their relay.
  std::size_t HeardHosts() const;

 private:
  struct Reporter {
    std::uint64_t m_epoch = 0;
    std::uint64_t m_number = 0;
    std::size_t m_hosts = 1;
    bool m_partial = false;
    MonotonicTime m_heard_at;
    FleetCounts m_counts;
  };
  using Reporters = std::map<HostId, Reporter>;

  // Takes a report into `reporters` and adds what it counts beyond the last one
  // to `sums`.
  static void Take(Reporters& reporters,
                   const HostId& name,
                   Reporter report,
                   FleetCounts& sums);

  Reporters m_hosts;
  Reporters m_groups;
  // Counts only, since this aggregator's start.
  FleetCounts m_group_counts;
  FleetCounts m_other_counts;
};

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_REPORT_AGGREGATOR_H_
