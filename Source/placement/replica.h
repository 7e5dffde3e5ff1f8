// The state of one replica under a placement shard.

#ifndef SOURCE_PLACEMENT_REPLICA_H_
#define SOURCE_PLACEMENT_REPLICA_H_

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "placement/types.h"

namespace hickoryloft::placement {

// The steps of a replica's life, in order. A base model starts at kDeciding and
// ends at kForgetting; an adapter starts at kAwaitingBase and ends at
// kReleasing.
enum class ReplicaStep {
  kDeciding,      // The model record is to name it.
  kAwaitingBase,  // An adapter whose base model is not ready yet.
  kReserving,     // The ledger is to hold its memory.
  kReserved,      // Waits for the weight store or the adapter budget.
  kLoading,       // The load order was sent; it may have taken effect.
  kReady,
  kDraining,    // Waits until its adapters are gone.
  kMarking,     // The ledger is to announce the unload.
  kUnloading,   // The unload order was sent.
  kUnsure,      // Taken over from an earlier holder; its fate is unknown.
  kReleasing,   // Proved absent; the ledger is to free its memory.
  kForgetting,  // The model record is to drop it.
};

struct Replica {
  ReplicaStep m_step = ReplicaStep::kDeciding;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_peak_bytes = 0;
  CheckpointTier m_tier = CheckpointTier::kRemote;
  Duration m_load_time{};  // Estimate.
  std::uint64_t m_order_number = 0;
  MonotonicTime m_asked_at{};
  MonotonicTime m_deadline = MonotonicTime::max();  // Of its earliest caller.
  MonotonicTime m_ordered_at{};
  MonotonicTime m_ready_at{};
  // An inventory requested from here on proves absence, even if it never showed
  // the replica.
  MonotonicTime m_absent_after = MonotonicTime::max();
  bool m_seen = false;        // An inventory has shown it since the last order.
  bool m_order_open = false;  // No reply to the order yet.
  bool m_fence_pending = false;   // The earlier holder's orders may still land.
  std::vector<Demand> m_waiting;  // Answered once its memory is reserved.
};

// Returns whether the replica may occupy memory without being ready.
inline bool NeedsInventory(const Replica& replica) {
  return replica.m_step == ReplicaStep::kLoading ||
         replica.m_step == ReplicaStep::kUnloading ||
         (replica.m_step == ReplicaStep::kUnsure && !replica.m_fence_pending);
}

// Returns whether callers can wait for the replica.
inline bool IsComing(const Replica& replica) {
  return replica.m_step <= ReplicaStep::kLoading;
}

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_REPLICA_H_
