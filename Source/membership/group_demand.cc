#include "membership/group_demand.h"

#include <utility>

#include "membership/report_aggregator.h"

namespace hickoryloft::membership {

using placement::ModelDemand;

namespace {

// Entries whose decayed arrivals are below this number are dropped.
constexpr double kMinArrivals = 0.02;

}  // namespace

void GroupDemand::RecordHost(const HostId& host,
                             const EngineDemand& demand,
                             MonotonicTime now) {
  for (const auto& [key, want] : demand.m_entries) {
    if (want.m_arrivals <= 0) {
      continue;
    }
    Arrivals& arrivals = m_arrivals[key];
    arrivals.m_decayed =
        arrivals.m_decayed * ModelDemand::Decay(now - arrivals.m_updated_at) +
        want.m_arrivals;
    arrivals.m_updated_at = now;
    arrivals.m_unreported += want.m_arrivals;
  }
  m_hosts[host] = {.m_received_at = now, .m_demand = demand};
}

void GroupDemand::Expire(MonotonicTime now) {
  std::erase_if(m_hosts, [&](const auto& entry) {
    return now - entry.second.m_received_at > ReportAggregator::kReportTimeout;
  });
  std::erase_if(m_arrivals, [&](const auto& entry) {
    const Arrivals& arrivals = entry.second;
    return arrivals.m_unreported <= 0 &&
           arrivals.m_decayed *
                   ModelDemand::Decay(now - arrivals.m_updated_at) <
               kMinArrivals;
  });
}

EngineDemand GroupDemand::BuildReport(const HostId& leader, MonotonicTime now) {
  EngineDemand report;
  for (const auto& [host, known] : m_hosts) {
    for (const auto& [key, running] : known.m_demand.m_running) {
      report.m_running[key] += running;
    }
    for (const auto& [key, want] : known.m_demand.m_entries) {
      if (want.m_waiting > 0) {
        report.m_entries[key].m_waiting += want.m_waiting;
      }
    }
  }
  const bool new_leader = std::exchange(m_leader, leader) != leader;
  for (auto& [key, arrivals] : m_arrivals) {
    const double unreported = std::exchange(arrivals.m_unreported, 0);
    const double reported =
        new_leader ? arrivals.m_decayed *
                         ModelDemand::Decay(now - arrivals.m_updated_at)
                   : unreported;
    if (reported > 0) {
      report.m_entries[key].m_arrivals = reported;
    }
  }
  return report;
}

}  // namespace hickoryloft::membership
