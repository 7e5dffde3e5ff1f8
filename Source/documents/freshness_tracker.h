// Tells how long a host may serve by the documents that it has.

#ifndef SOURCE_DOCUMENTS_FRESHNESS_TRACKER_H_
#define SOURCE_DOCUMENTS_FRESHNESS_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::documents {

// What a host can say about the newest revision.
struct FreshnessProof {
  Revision m_revision = 0;
  MonotonicTime m_began{};  // The read that showed the revision began then.
};

// A host may serve while it is proved that it had the newest accepted revision
// not longer than the limit ago. A proof is a read of the manifest, or
// heartbeats from a majority of the member view: accepting a revision takes a
// majority too, so the two share a member. Not thread-safe.
class FreshnessTracker {
 public:
  explicit FreshnessTracker(Duration limit) : m_limit(limit) {}

  // The member view, this host included.
  void SetMembers(std::vector<HostId> members,
                  std::uint64_t digest,
                  const HostId& self);
  // All of the manifest up to `revision` is in force here. Never goes down.
  void OnApplied(Revision revision);
  // A read that began at `began`, here or at a host that was asked then, showed
  // `revision` as the newest.
  void OnProof(const FreshnessProof& proof);
  // `host`, asked at `asked_at`, serves by `revision` and has a member view of
  // `digest`.
  void OnHeartbeat(const HostId& host,
                   Revision revision,
                   std::uint64_t digest,
                   MonotonicTime asked_at);

  // Returns until when the host may serve; absent if not at all.
  std::optional<MonotonicTime> ServeUntil() const;
  // Returns the newest proof by a read, for others.
  const std::optional<FreshnessProof>& proof() const { return m_proof; }
  Revision applied() const { return m_applied; }

 private:
  struct Heard {
    Revision m_revision = 0;
    std::uint64_t m_digest = 0;
    MonotonicTime m_asked_at{};
  };

  std::optional<MonotonicTime> MajorityHeardAt() const;

  Duration m_limit;
  Revision m_applied = 0;
  std::optional<FreshnessProof> m_proof;
  std::vector<HostId> m_members;
  std::uint64_t m_digest = 0;
  HostId m_self;
  std::map<HostId, Heard> m_heard;
};

}  // namespace hickoryloft::documents

#endif  // SOURCE_DOCUMENTS_FRESHNESS_TRACKER_H_
