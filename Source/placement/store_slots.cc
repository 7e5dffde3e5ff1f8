#include "placement/store_slots.h"

#include <algorithm>
#include <utility>

namespace hickoryloft::placement {
namespace {

constexpr char kNumberSeparator = '#';

// Returns the part of a slot's name before kNumberSeparator.
std::string ReplicaName(const ReplicaKey& replica) {
  return replica.m_artifact.m_model.value() + "@" +
         replica.m_artifact.m_version + "@" + replica.m_endpoint.value();
}

Duration MinHoldTime(const StoreLimits& limits) {
  const double rate = std::max(limits.m_loads_per_second, 1U);
  return FromSeconds(limits.m_loads_at_full_speed / rate);
}

}  // namespace

StoreSlots::StoreSlots(std::string scope, FencingNumber fence)
    : m_scope(std::move(scope)), m_fence(fence) {}

bool StoreSlots::Has(const ReplicaKey& replica) const {
  return std::any_of(m_uses.begin(), m_uses.end(), [&](const auto& item) {
    return item.second.m_replica == replica &&
           item.second.m_state != State::kReleased;
  });
}

void StoreSlots::Request(const ReplicaKey& replica) {
  if (Has(replica)) {
    return;
  }
  const std::string name = ReplicaName(replica) + kNumberSeparator +
                           std::to_string(m_fence) + "." +
                           std::to_string(++m_last_number);
  m_uses[name] = {.m_replica = replica};
}

void StoreSlots::Adopt(const ReplicaKey& replica) {
  m_adopted.push_back(replica);
}

void StoreSlots::Release(const ReplicaKey& replica) {
  std::erase(m_adopted, replica);
  for (auto& [name, use] : m_uses) {
    if (use.m_replica == replica) {
      use.m_state = State::kReleased;
    }
  }
}

StoreSlots::SlotUse StoreSlots::RecoverUse(const std::string& name,
                                           MonotonicTime now) const {
  const std::string replica_name = name.substr(0, name.find(kNumberSeparator));
  for (const ReplicaKey& replica : m_adopted) {
    if (ReplicaName(replica) == replica_name) {
      return {.m_replica = replica, .m_state = State::kHeld, .m_held_at = now};
    }
  }
  return {.m_state = State::kReleased, .m_held_at = now};
}

std::vector<ReplicaKey> StoreSlots::Observe(const StoreRecord& record,
                                            MonotonicTime now) {
  std::vector<ReplicaKey> granted;
  for (const auto& [name, slot] : record.m_slots) {
    if (slot.m_scope != m_scope) {
      continue;
    }
    const auto found = m_uses.find(name);
    if (found == m_uses.end()) {
      // Written by a former claim holder or by a write that was abandoned.
      m_uses[name] = RecoverUse(name, now);
    } else if (found->second.m_state == State::kRequested) {
      found->second.m_state = State::kHeld;
      found->second.m_held_at = now;
      granted.push_back(found->second.m_replica);
    }
  }
  EraseFreed(record);
  return granted;
}

void StoreSlots::EraseFreed(const StoreRecord& record) {
  std::erase_if(m_uses, [&record](const auto& item) {
    return item.second.m_state == State::kReleased &&
           record.m_slots.count(item.first) == 0;
  });
}

bool StoreSlots::CanFree(const std::string& name,
                         const StoreLimits& limits,
                         MonotonicTime now) const {
  const auto found = m_uses.find(name);
  return found != m_uses.end() && found->second.m_state == State::kReleased &&
         now >= found->second.m_held_at + MinHoldTime(limits);
}

StoreRecord StoreSlots::Plan(StoreRecord record,
                             const std::vector<ReplicaKey>& requested,
                             const StoreLimits& limits,
                             MonotonicTime now) const {
  std::erase_if(record.m_slots, [&](const auto& item) {
    return item.second.m_scope == m_scope && CanFree(item.first, limits, now);
  });
  for (const ReplicaKey& replica : requested) {
    if (record.m_slots.size() >= limits.m_loads_at_full_speed) {
      break;
    }
    for (const auto& [name, use] : m_uses) {
      if (use.m_replica == replica && use.m_state == State::kRequested) {
        record.m_slots[name] = {.m_scope = m_scope, .m_fence = m_fence};
      }
    }
  }
  return record;
}

std::vector<ReplicaKey> StoreSlots::Requested() const {
  std::vector<ReplicaKey> requested;
  for (const auto& [name, use] : m_uses) {
    if (use.m_state == State::kRequested) {
      requested.push_back(use.m_replica);
    }
  }
  return requested;
}

bool StoreSlots::HasOpenSlots() const {
  return std::any_of(m_uses.begin(), m_uses.end(), [](const auto& item) {
    return item.second.m_state != State::kHeld;
  });
}

}  // namespace hickoryloft::placement
