// Counts the members that have applied a revision of the documents.

#ifndef SOURCE_DOCUMENTS_ACCEPTANCE_VOTE_H_
#define SOURCE_DOCUMENTS_ACCEPTANCE_VOTE_H_

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace hickoryloft::documents {

// A revision is accepted once a majority of the members have applied it or a
// later one. Only members with the same member view as this host count, since
// majorities of different views need not intersect. Not thread-safe.
class AcceptanceVote {
 public:
  AcceptanceVote(Revision revision,
                 std::vector<HostId> members,
                 std::uint64_t digest)
      : m_revision(revision), m_members(std::move(members)), m_digest(digest) {}

  // Records that `host` has applied `revision` and that its member view has
  // `digest`.
  void OnAck(const HostId& host, Revision revision, std::uint64_t digest) {
    const bool member =
        std::find(m_members.begin(), m_members.end(), host) != m_members.end();
    if (member && revision >= m_revision && digest == m_digest) {
      m_acknowledged.insert(host);
    }
  }

  bool accepted() const { return m_acknowledged.size() >= needed(); }
  bool Acknowledged(const HostId& host) const {
    return m_acknowledged.contains(host);
  }
  std::size_t acknowledged() const { return m_acknowledged.size(); }
  std::size_t needed() const { return m_members.size() / 2 + 1; }
  const std::vector<HostId>& members() const { return m_members; }
  std::uint64_t digest() const { return m_digest; }
  Revision revision() const { return m_revision; }

 private:
  Revision m_revision;
  std::vector<HostId> m_members;
  std::uint64_t m_digest;
  std::set<HostId> m_acknowledged;
};

}  // namespace hickoryloft::documents

#endif  // SOURCE_DOCUMENTS_ACCEPTANCE_VOTE_H_
