#include "membership/report_groups.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "base/hashing.h"

namespace hickoryloft::membership {

ReportGroups::ReportGroups(const std::map<HostId, MemberInfo>& members) {
  if (members.size() <= kFlatHosts) {
    for (const auto& [host, facts] : members) {
      m_relays[host] = host;
    }
    return;
  }
  const auto leaves = static_cast<std::size_t>(
      std::ceil(std::sqrt(static_cast<double>(members.size()))));
  std::map<FailureDomainId, std::vector<std::string>> domains;
  for (const auto& [host, facts] : members) {
    domains[facts.m_failure_domain].push_back(host.value());
  }
  for (const auto& domain : domains) {
    const std::vector<std::string>& names = domain.second;
    // Rendezvous order among hosts of equal capacity, so that few hosts change
    // groups when one joins or leaves.
    auto order = RendezvousOrder("reports/" + domain.first.value(), names);
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t left, std::size_t right) {
                       return members.at(HostId(names[left])).m_capacity >
                              members.at(HostId(names[right])).m_capacity;
                     });
    const std::size_t groups = (names.size() + leaves) / (leaves + 1);
    for (std::size_t i = 0; i < names.size(); ++i) {
      m_relays[HostId(names[order[i]])] = HostId(names[order[i % groups]]);
    }
  }
}

HostId ReportGroups::RelayOf(const HostId& host) const {
  const auto relay = m_relays.find(host);
  return relay == m_relays.end() ? HostId() : relay->second;
}

std::vector<HostId> ReportGroups::LeavesOf(const HostId& relay) const {
  std::vector<HostId> leaves;
  for (const auto& [host, its_relay] : m_relays) {
    if (its_relay == relay && host != relay) {
      leaves.push_back(host);
    }
  }
  return leaves;
}

std::vector<HostId> ReportGroups::Relays() const {
  std::vector<HostId> relays;
  for (const auto& [host, relay] : m_relays) {
    if (host == relay) {
      relays.push_back(host);
    }
  }
  return relays;
}

std::size_t ReportGroups::GroupSize(const HostId& relay) const {
  return static_cast<std::size_t>(
      std::count_if(m_relays.begin(), m_relays.end(),
                    [&](const auto& entry) { return entry.second == relay; }));
}

}  // namespace hickoryloft::membership
