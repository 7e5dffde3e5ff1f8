// The slots of one service's weight store that one shard requests and holds.

#ifndef SOURCE_PLACEMENT_STORE_SLOTS_H_
#define SOURCE_PLACEMENT_STORE_SLOTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "placement/store_record.h"
#include "placement/types.h"

namespace hickoryloft::placement {

// The weight store limits in one service's document.
struct StoreLimits {
  std::uint32_t m_loads_per_second = 1;
  std::uint32_t m_loads_at_full_speed = 1;
};

// Reconciles the slots that this shard has requested, holds and has released
// with the shared record. A slot is held for at least
// m_loads_at_full_speed / m_loads_per_second seconds. This keeps all shards
// together below the rate limit without a shared clock. Not thread-safe.
class StoreSlots {
 public:
  // `scope` is the name of the shard's claim, `fence` its fencing number.
  StoreSlots(std::string scope, FencingNumber fence);

  // Returns whether the replica holds or waits for a slot.
  bool Has(const ReplicaKey& replica) const;
  // Requests a slot. No effect if Has().
  void Request(const ReplicaKey& replica);
  // Keeps the slot, if the record has one, of a load that a former claim holder
  // started.
  void Adopt(const ReplicaKey& replica);
  // Releases the replica's slot or withdraws its request.
  void Release(const ReplicaKey& replica);

  // Applies the record; returns the replicas that were granted a slot.
  std::vector<ReplicaKey> Observe(const StoreRecord& record, MonotonicTime now);
  // Returns the record without the slots that can be freed and with as many new
  // slots as the limits allow. `requested` are the replicas that wait for
  // slots, in order of priority.
  StoreRecord Plan(StoreRecord record,
                   const std::vector<ReplicaKey>& requested,
                   const StoreLimits& limits,
                   MonotonicTime now) const;

  // Returns the replicas that wait for a slot.
  std::vector<ReplicaKey> Requested() const;
  // Returns whether slots are requested, or released and not yet freed.
  bool HasOpenSlots() const;

 private:
  enum class State { kRequested, kHeld, kReleased };
  struct SlotUse {
    ReplicaKey m_replica;
    State m_state = State::kRequested;
    MonotonicTime m_held_at{};
  };

  SlotUse RecoverUse(const std::string& name, MonotonicTime now) const;
  bool CanFree(const std::string& name,
               const StoreLimits& limits,
               MonotonicTime now) const;
  void EraseFreed(const StoreRecord& record);

  std::string m_scope;
  FencingNumber m_fence;
  std::uint64_t m_last_number = 0;
  // By the slot's name in the record. A name is never reused, so that a delayed
  // write cannot be mistaken for a newer one.
  std::map<std::string, SlotUse> m_uses;
  std::vector<ReplicaKey> m_adopted;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_STORE_SLOTS_H_
