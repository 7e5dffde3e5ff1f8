// Computes how long a host may serve with the documents that it has applied.

#ifndef SOURCE_DOCUMENTS_FRESHNESS_TRACKER_H_
#define SOURCE_DOCUMENTS_FRESHNESS_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::documents {

// Proof that a revision was the newest when a read of the manifest began.
struct FreshnessProof {
  Revision m_revision = 0;
  MonotonicTime m_began{};  // Start of the read that returned the revision.
};

// A host may serve while there is proof that it had the newest accepted
// revision at a time no longer ago than the limit. The proof is a read of the
// manifest, or heartbeats from a majority of the member view: accepting a
// revision takes a majority too, so both majorities share a member. Not
// thread-safe.
class FreshnessTracker {
 public:
  explicit FreshnessTracker(Duration limit) : m_limit(limit) {}

  // Sets the member view, this host included.
  void SetMembers(std::vector<HostId> members,
                  std::uint64_t digest,
                  const HostId& self);
  // Records that this host has applied the whole manifest up to `revision`. An
  // older revision is ignored.
  void OnApplied(Revision revision);
  // Records the proof by a read of the manifest, made by this host or received
  // from another one. An older proof is ignored.
  void OnProof(const FreshnessProof& proof);
  // Records the heartbeat of `host`, requested at `requested_at`: it has
  // applied `revision`, and its member view has `digest`.
  void OnHeartbeat(const HostId& host,
                   Revision revision,
                   std::uint64_t digest,
                   MonotonicTime requested_at);

  // Returns until when the host may serve; std::nullopt if there is no proof.
  std::optional<MonotonicTime> ServeUntil() const;
  // Returns the newest proof by a read, to be sent to other hosts.
  const std::optional<FreshnessProof>& proof() const { return m_proof; }
  Revision applied() const { return m_applied; }

 private:
  struct LastHeartbeat {
    Revision m_revision = 0;
    std::uint64_t m_digest = 0;
    MonotonicTime m_requested_at{};
  };

  std::optional<MonotonicTime> MajorityHeartbeatAt() const;

  Duration m_limit;
  Revision m_applied = 0;
  std::optional<FreshnessProof> m_proof;
  std::vector<HostId> m_members;
  std::uint64_t m_digest = 0;
  HostId m_self;
  std::map<HostId, LastHeartbeat> m_heartbeats;
};

}  // namespace hickoryloft::documents

#endif  // SOURCE_DOCUMENTS_FRESHNESS_TRACKER_H_
