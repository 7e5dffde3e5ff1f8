// The member view: the live hosts, and the watchers of each failure domain.

#ifndef SOURCE_COORDINATOR_MEMBER_VIEW_H_
#define SOURCE_COORDINATOR_MEMBER_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "claims/claim_effects.h"
#include "coordinator/member_record.h"

namespace hickoryloft::coordinator {

// A change of the view at a revision of the key-value service.
struct MemberChange {
  Revision m_revision = 0;
  bool m_full = false;  // m_present replaces the view.
  std::vector<MemberRecord> m_present;
  std::vector<MemberRecord> m_removed;
};

wire::MembersUpdateT ToMembersUpdate(const MemberChange& change);
MemberChange ToMemberChange(const wire::MembersUpdateT& update);

// Holds no socket and reads no clock. Not thread-safe.
class MemberView {
 public:
  // Applies `change` unless it is older than the view. Returns whether the view
  // changed.
  bool Apply(const MemberChange& change);

  // Returns the newest run of each live host, ordered by host.
  const std::vector<Member>& members() const { return m_members; }
  std::vector<claims::ClaimHost> ClaimHosts() const;
  std::vector<HostId> Hosts() const;
  const Member* Find(const HostId& host) const;
  bool empty() const { return m_members.empty(); }

  // Returns a hash of the members, which hosts compare to detect that their
  // views differ.
  std::uint64_t digest() const { return m_digest; }
  Revision revision() const { return m_revision; }
  // Returns the whole view as a change.
  MemberChange Snapshot() const;

  // Returns the hosts of `domain` that are not leaving, in rendezvous order.
  // The first kWatchersPerDomain of them are the domain's watchers.
  std::vector<HostId> WatcherOrder(const FailureDomainId& domain) const;
  std::vector<FailureDomainId> FailureDomains() const;
  bool IsWatcher(const HostId& host) const;

  static constexpr std::size_t kWatchersPerDomain = 2;

 private:
  using RecordKey = std::pair<HostId, Incarnation>;

  void Rebuild();

  std::map<RecordKey, MemberRecord> m_records;
  Revision m_revision = 0;
  std::vector<MemberRecord> m_newest_records;
  std::vector<Member> m_members;
  std::uint64_t m_digest = 0;
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_MEMBER_VIEW_H_
