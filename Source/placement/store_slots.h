// One shard's use of the weight store's slots of one service.

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

// The weight store's limits in one service's document.
struct StoreLimits {
  std::uint32_t m_loads_per_second = 1;
  std::uint32_t m_loads_at_full_speed = 1;
};

// Compares the slots that this shard wants, holds and is done with to the
// shared record. A slot is held for at least slots / rate, so that all shards
// together start no more loads a second than the rate, without a shared clock.
// Not thread-safe.
class StoreSlots {
 public:
  // `scope` is the shard's claim and `fence` its fencing number.
  StoreSlots(std::string scope, FencingNumber fence);

  // Returns whether the replica has or awaits a slot.
  bool Has(const ReplicaKey& replica) const;
  // Asks for a slot. No effect if Has().
  void Want(const ReplicaKey& replica);
  // Keeps the slot of a load that an earlier holder started, if the record has
  // one.
  void Adopt(const ReplicaKey& replica);
  // The replica needs no slot any longer.
  void End(const ReplicaKey& replica);

  // Takes what the record says; returns the replicas whose slots are new.
  std::vector<ReplicaKey> Observe(const StoreRecord& record, MonotonicTime now);
  // Returns the record as it should be. `wanted` are the replicas that await
  // slots, in order.
  StoreRecord Plan(StoreRecord record,
                   const std::vector<ReplicaKey>& wanted,
                   const StoreLimits& limits,
                   MonotonicTime now) const;

  // Returns the replicas that await a slot.
  std::vector<ReplicaKey> Wanted() const;
  // Returns whether the record must be looked at again.
  bool HasWork() const;

 private:
  enum class State { kWanted, kHeld, kDone };
  struct Use {
    ReplicaKey m_replica;
    State m_state = State::kWanted;
    MonotonicTime m_held_at{};
  };

  Use UseOf(const std::string& name, MonotonicTime now) const;
  bool MayFree(const std::string& name,
               const StoreLimits& limits,
               MonotonicTime now) const;
  void DropFreed(const StoreRecord& record);

  std::string m_scope;
  FencingNumber m_fence;
  std::uint64_t m_last_number = 0;
  // By the slot's name in the record. Names are never used again, so a late
  // write cannot be taken for a newer one.
  std::map<std::string, Use> m_uses;
  std::vector<ReplicaKey> m_adopted;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_STORE_SLOTS_H_
