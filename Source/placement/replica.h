// The state that a placement shard keeps of one replica.

#ifndef SOURCE_PLACEMENT_REPLICA_H_
#define SOURCE_PLACEMENT_REPLICA_H_

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "placement/types.h"

namespace hickoryloft::placement {

// The lifecycle of a replica, in order. A base model starts at kAddingToRecord
// and ends at kRemovingFromRecord; an adapter starts at kAwaitingBase or
// kReserving and ends at kUnreserving. A replica is kUncertain when it was
// adopted from a former claim holder, or when its unload order had no effect.
enum class ReplicaStep {
  kAddingToRecord,  // Being added to the model record.
  kAwaitingBase,    // An adapter whose base model is not ready yet.
  kReserving,       // Memory is being reserved in the engine's ledger.
  kReserved,        // Waits for a store slot or the adapter load limit.
  kLoading,         // The load order was sent; it may have taken effect.
  kReady,
  kDraining,            // Waits until its adapters are unloaded.
  kMarkingUnload,       // Being marked as unloading in the ledger.
  kUnloading,           // The unload order was sent.
  kUncertain,           // Reserved, but unknown whether it is loaded.
  kUnreserving,         // Proved absent; being removed from the ledger.
  kRemovingFromRecord,  // Being removed from the model record.
};

struct Replica {
  ReplicaStep m_step = ReplicaStep::kAddingToRecord;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_peak_bytes = 0;
  CheckpointTier m_tier = CheckpointTier::kRemote;
  Duration m_load_time{};  // Estimated.
  std::uint64_t m_order_number = 0;
  MonotonicTime m_requested_at{};
  MonotonicTime m_deadline = MonotonicTime::max();  // Earliest caller's.
  MonotonicTime m_ordered_at{};
  MonotonicTime m_ready_at{};
  // An inventory requested at or after this time that lacks the replica proves
  // that it is absent.
  MonotonicTime m_absence_conclusive_at = MonotonicTime::max();
  bool m_observed = false;        // In an inventory since the last load order.
  bool m_reply_pending = false;   // The last order has no reply yet.
  bool m_fence_pending = false;   // A former claim holder's orders may arrive.
  std::vector<Demand> m_waiting;  // Answered once the memory is reserved.
};

// Returns whether only an inventory can show if the replica occupies memory.
inline bool NeedsInventory(const Replica& replica) {
  return replica.m_step == ReplicaStep::kLoading ||
         replica.m_step == ReplicaStep::kUnloading ||
         (replica.m_step == ReplicaStep::kUncertain &&
          !replica.m_fence_pending);
}

// Returns whether the replica is on its way to kReady, so that callers can wait
// for it.
inline bool IsStarting(const Replica& replica) {
  return replica.m_step <= ReplicaStep::kLoading;
}

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_REPLICA_H_
