#include "coordinator/member_view.h"

#include <algorithm>
#include <set>

#include "base/hashing.h"

namespace hickoryloft::coordinator {

namespace {

MemberRecord CopyRecord(const std::unique_ptr<wire::MemberStateT>& state) {
  return ToMemberRecord(*state);
}

}  // namespace

wire::MembersUpdateT ToMembersUpdate(const MemberChange& change) {
  wire::MembersUpdateT update;
  update.revision = change.m_revision;
  update.full = change.m_full;
  for (const MemberRecord& record : change.m_present) {
    update.members.push_back(
        std::make_unique<wire::MemberStateT>(ToMemberState(record)));
  }
  for (const MemberRecord& record : change.m_removed) {
    update.removed.push_back(
        std::make_unique<wire::MemberStateT>(ToMemberState(record)));
  }
  return update;
}

MemberChange ToMemberChange(const wire::MembersUpdateT& update) {
  MemberChange change{.m_revision = update.revision, .m_full = update.full};
  std::transform(update.members.begin(), update.members.end(),
                 std::back_inserter(change.m_present), &CopyRecord);
  std::transform(update.removed.begin(), update.removed.end(),
                 std::back_inserter(change.m_removed), &CopyRecord);
  return change;
}

bool MemberView::Apply(const MemberChange& change) {
  if (change.m_revision < m_revision) {
    return false;
  }
  m_revision = change.m_revision;
  const std::map<RecordKey, MemberRecord> before = m_records;
  if (change.m_full) {
    m_records.clear();
  }
  for (const MemberRecord& record : change.m_present) {
    m_records[{record.m_member.m_host, record.m_member.m_incarnation}] = record;
  }
  for (const MemberRecord& record : change.m_removed) {
    m_records.erase({record.m_member.m_host, record.m_member.m_incarnation});
  }
  if (m_records == before) {
    return false;
  }
  Rebuild();
  return true;
}

void MemberView::Rebuild() {
  m_newest_records.clear();
  // The map is ordered by host, so the runs of a host are adjacent.
  for (const auto& [key, record] : m_records) {
    const bool same_host = !m_newest_records.empty() &&
                           m_newest_records.back().m_member.m_host == key.first;
    if (!same_host) {
      m_newest_records.push_back(record);
    } else if (record.m_create_revision >
               m_newest_records.back().m_create_revision) {
      m_newest_records.back() = record;
    }
  }
  m_members.clear();
  std::string text;
  for (const MemberRecord& record : m_newest_records) {
    m_members.push_back(record.m_member);
    text += record.m_member.m_host.value() + '/' +
            std::to_string(record.m_member.m_incarnation) + '/' +
            std::to_string(record.m_lease) + '/' +
            std::to_string(record.m_long_lease) +
            (record.m_member.m_leaving ? "!" : ";");
  }
  m_digest = StableHash(text);
}

std::vector<claims::ClaimHost> MemberView::ClaimHosts() const {
  std::vector<claims::ClaimHost> hosts;
  for (const MemberRecord& record : m_newest_records) {
    hosts.push_back({
        .m_host = record.m_member.m_host,
        .m_incarnation = record.m_member.m_incarnation,
        .m_failure_domain = record.m_member.m_failure_domain,
        .m_lease = record.m_lease,
        .m_long_lease = record.m_long_lease,
        .m_leaving = record.m_member.m_leaving,
    });
  }
  return hosts;
}

std::vector<HostId> MemberView::Hosts() const {
  std::vector<HostId> hosts;
  for (const Member& member : m_members) {
    hosts.push_back(member.m_host);
  }
  return hosts;
}

const Member* MemberView::Find(const HostId& host) const {
  const auto found =
      std::find_if(m_members.begin(), m_members.end(),
                   [&](const Member& member) { return member.m_host == host; });
  return found == m_members.end() ? nullptr : &*found;
}

MemberChange MemberView::Snapshot() const {
  MemberChange change{.m_revision = m_revision, .m_full = true};
  for (const auto& [key, record] : m_records) {
    change.m_present.push_back(record);
  }
  return change;
}

std::vector<HostId> MemberView::WatcherOrder(
    const FailureDomainId& domain) const {
  std::vector<std::string> names;
  for (const Member& member : m_members) {
    if (member.m_failure_domain == domain && !member.m_leaving) {
      names.push_back(member.m_host.value());
    }
  }
  std::vector<HostId> order;
  for (const std::size_t index : RendezvousOrder(domain.value(), names)) {
    order.emplace_back(names[index]);
  }
  return order;
}

std::vector<FailureDomainId> MemberView::FailureDomains() const {
  std::set<FailureDomainId> domains;
  for (const Member& member : m_members) {
    domains.insert(member.m_failure_domain);
  }
  return {domains.begin(), domains.end()};
}

bool MemberView::IsWatcher(const HostId& host) const {
  const Member* member = Find(host);
  if (member == nullptr) {
    return false;
  }
  const std::vector<HostId> order = WatcherOrder(member->m_failure_domain);
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(
                                       order.size(), kWatchersPerDomain));
  return std::find(order.begin(), end, host) != end;
}

}  // namespace hickoryloft::coordinator
