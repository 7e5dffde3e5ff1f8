// Groups of hosts that exchange reports through one of them, the relay. The
// traffic of a host then grows at most with the square root of the fleet's
// size.

#ifndef SOURCE_MEMBERSHIP_REPORT_GROUPS_H_
#define SOURCE_MEMBERSHIP_REPORT_GROUPS_H_

#include <map>
#include <vector>

#include "base/ids.h"

namespace hickoryloft::membership {

struct MemberInfo {
  FailureDomainId m_failure_domain;
  double m_capacity = 0;  // Processor cores; hosts with the most are relays.
};

// The groups of one member view. Hosts with the same view compute the same
// groups. Immutable after construction, so thread-safe.
class ReportGroups {
 public:
  // In a fleet of up to this many hosts each host is its own group, and
  // exchanges reports with all others directly.
  static constexpr std::size_t kFlatHosts = 12;

  ReportGroups() = default;
  explicit ReportGroups(const std::map<HostId, MemberInfo>& members);

  std::size_t hosts() const { return m_relays.size(); }
  // Returns the relay of `host`'s group; an empty name if it is no member.
  HostId RelayOf(const HostId& host) const;
  bool IsRelay(const HostId& host) const { return RelayOf(host) == host; }
  // Returns the members of `relay`'s group besides itself.
  std::vector<HostId> LeavesOf(const HostId& relay) const;
  // Returns all relays.
  std::vector<HostId> Relays() const;
  // Returns the number of hosts in `relay`'s group, itself included.
  std::size_t GroupSize(const HostId& relay) const;

 private:
  std::map<HostId, HostId> m_relays;  // By host.
};

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_REPORT_GROUPS_H_
