#include "membership/report_aggregator.h"

#include <algorithm>
#include <utility>

namespace hickoryloft::membership {

void ReportAggregator::AddLevels(const EndpointLevels& levels,
                                 int sign,
                                 LevelSums& sums) {
  for (const auto& [endpoint, level] : levels) {
    const auto sum = sums.try_emplace(endpoint, 0).first;
    if ((sum->second += sign * level) == 0) {
      sums.erase(sum);
    }
  }
}

bool ReportAggregator::Record(Reporters& reporters,
                              const HostId& name,
                              Reporter report,
                              bool partial,
                              Sums& sums) {
  Reporter& previous = reporters[name];
  // The first report of an epoch only sets the baseline: another relay may
  // already have counted what it contains.
  const bool same_epoch = previous.m_epoch == report.m_epoch;
  if (same_epoch && report.m_number < previous.m_number) {
    return false;
  }
  for (const auto& [account, admitted] : report.m_counts.m_admitted) {
    if (same_epoch) {
      sums.m_admitted[account] +=
          admitted - previous.m_counts.m_admitted[account];
    }
  }
  if (partial) {
    std::swap(report.m_counts.m_running, previous.m_counts.m_running);
    std::swap(report.m_counts.m_avoided, previous.m_counts.m_avoided);
    std::swap(report.m_counts.m_leaving, previous.m_counts.m_leaving);
  } else {
    AddLevels(previous.m_counts.m_running, -1, sums.m_running);
    AddLevels(report.m_counts.m_running, 1, sums.m_running);
    AddLevels(previous.m_counts.m_avoided, -1, sums.m_avoided);
    AddLevels(report.m_counts.m_avoided, 1, sums.m_avoided);
  }
  previous = std::move(report);
  return true;
}

bool ReportAggregator::RecordHost(const HostId& host,
                                  std::uint64_t epoch,
                                  std::uint64_t number,
                                  FleetCounts counts,
                                  MonotonicTime now) {
  return Record(m_hosts, host,
                {.m_epoch = epoch,
                 .m_number = number,
                 .m_received_at = now,
                 .m_counts = std::move(counts)},
                /*partial=*/false, m_group_sums);
}

void ReportAggregator::RecordGroup(const HostId& relay,
                                   std::uint64_t epoch,
                                   std::size_t hosts,
                                   bool partial,
                                   FleetCounts counts,
                                   MonotonicTime now) {
  Record(m_groups, relay,
         {.m_epoch = epoch,
          .m_hosts = hosts,
          .m_received_at = now,
          .m_counts = std::move(counts)},
         partial, m_other_sums);
}

void ReportAggregator::ExpireReporters(Reporters& reporters,
                                       MonotonicTime now,
                                       Sums& sums) {
  std::erase_if(reporters, [&](const auto& entry) {
    const Reporter& reporter = entry.second;
    if (now - reporter.m_received_at <= kReportTimeout) {
      return false;
    }
    AddLevels(reporter.m_counts.m_running, -1, sums.m_running);
    AddLevels(reporter.m_counts.m_avoided, -1, sums.m_avoided);
    return true;
  });
}

void ReportAggregator::Expire(MonotonicTime now) {
  ExpireReporters(m_hosts, now, m_group_sums);
  ExpireReporters(m_groups, now, m_other_sums);
}

void ReportAggregator::AddLeaving(const Reporters& reporters,
                                  FleetCounts& counts) {
  for (const auto& [name, reporter] : reporters) {
    for (const auto& [endpoint, started_at_ms] : reporter.m_counts.m_leaving) {
      std::int64_t& latest = counts.m_leaving[endpoint];
      latest = std::max(latest, started_at_ms);
    }
  }
}

FleetCounts ReportAggregator::Group() const {
  const Sums& sums = m_group_sums;
  FleetCounts group{
      .m_running = {sums.m_running.begin(), sums.m_running.end()},
      .m_admitted = sums.m_admitted,
      .m_avoided = {sums.m_avoided.begin(), sums.m_avoided.end()}};
  AddLeaving(m_hosts, group);
  return group;
}

FleetCounts ReportAggregator::Fleet() const {
  const auto add = [](LevelSums sum, const LevelSums& part) {
    for (const auto& [endpoint, level] : part) {
      sum[endpoint] += level;
    }
    return EndpointLevels(sum.begin(), sum.end());
  };
  FleetCounts fleet{
      .m_running = add(m_group_sums.m_running, m_other_sums.m_running),
      .m_admitted = FleetAdmitted(),
      .m_avoided = add(m_group_sums.m_avoided, m_other_sums.m_avoided)};
  AddLeaving(m_hosts, fleet);
  AddLeaving(m_groups, fleet);
  return fleet;
}

std::map<ClientAccountId, double> ReportAggregator::FleetAdmitted() const {
  std::map<ClientAccountId, double> sum = m_group_sums.m_admitted;
  for (const auto& [account, admitted] : m_other_sums.m_admitted) {
    sum[account] += admitted;
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

std::size_t ReportAggregator::ReportingHosts() const {
  std::size_t reporting = m_hosts.size();
  for (const auto& [relay, reporter] : m_groups) {
    reporting += reporter.m_hosts;
  }
  return reporting;
}

}  // namespace hickoryloft::membership
