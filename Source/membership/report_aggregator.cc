#include "membership/report_aggregator.h"

#include <utility>

namespace hickoryloft::membership {

void ReportAggregator::Take(Reporters& reporters,
                            const HostId& name,
                            Reporter report,
                            FleetCounts& sums) {
  Reporter& known = reporters[name];
  // The first report of an epoch sets a mark: what it counts may have been
  // counted by another relay.
  const bool same_epoch = known.m_epoch == report.m_epoch;
  if (same_epoch && report.m_number < known.m_number) {
    return;
  }
  if (same_epoch) {
    for (const auto& [account, admitted] : report.m_counts.m_admitted) {
      sums.m_admitted[account] += admitted - known.m_counts.m_admitted[account];
    }
    for (const auto& [key, want] : report.m_counts.m_wants) {
      const std::uint64_t before = known.m_counts.m_wants[key].m_arrivals;
      sums.m_wants[key].m_arrivals +=
          want.m_arrivals > before ? want.m_arrivals - before : 0;
    }
  }
  if (report.m_partial) {
    std::swap(report.m_counts.m_uses, known.m_counts.m_uses);
    std::swap(report.m_counts.m_wants, known.m_counts.m_wants);
    std::swap(report.m_counts.m_avoided, known.m_counts.m_avoided);
  }
  known = std::move(report);
}

void ReportAggregator::TakeHost(const HostId& host,
                                std::uint64_t epoch,
                                std::uint64_t number,
                                const FleetCounts& counts,
                                MonotonicTime now) {
  Take(m_hosts, host,
       {.m_epoch = epoch,
        .m_number = number,
        .m_heard_at = now,
        .m_counts = counts},
       m_group_counts);
}

void ReportAggregator::TakeGroup(const HostId& relay,
                                 std::uint64_t epoch,
                                 std::size_t hosts,
                                 bool partial,
                                 const FleetCounts& counts,
                                 MonotonicTime now) {
  Take(m_groups, relay,
       {.m_epoch = epoch,
        .m_hosts = hosts,
        .m_partial = partial,
        .m_heard_at = now,
        .m_counts = counts},
       m_other_counts);
}

void ReportAggregator::Expire(MonotonicTime now) {
  const auto silent = [&](const auto& entry) {
    return now - entry.second.m_heard_at > kReportLife;
  };
  std::erase_if(m_hosts, silent);
  std::erase_if(m_groups, silent);
}

FleetCounts ReportAggregator::Group() const {
  FleetCounts sum = m_group_counts;
  for (const auto& [host, reporter] : m_hosts) {
    AddLevels(reporter.m_counts, sum);
  }
  return sum;
}

FleetCounts ReportAggregator::Fleet() const {
  FleetCounts sum = Group();
  for (const auto& [account, admitted] : m_other_counts.m_admitted) {
    sum.m_admitted[account] += admitted;
  }
  for (const auto& [key, want] : m_other_counts.m_wants) {
    sum.m_wants[key].m_arrivals += want.m_arrivals;
  }
  for (const auto& [relay, reporter] : m_groups) {
    AddLevels(reporter.m_counts, sum);
  }
  return sum;
}

std::map<HostId, std::uint64_t> ReportAggregator::Included() const {
  std::map<HostId, std::uint64_t> included;
  for (const auto& [host, reporter] : m_hosts) {
    included[host] = reporter.m_number;
  }
  return included;
}

std::size_t ReportAggregator::HeardHosts() const {
  std::size_t heard = m_hosts.size();
  for (const auto& [relay, reporter] : m_groups) {
    heard += reporter.m_hosts;
  }
  return heard;
}

}  // namespace hickoryloft::membership
