// How often a host asks the key-value service for changes.

#ifndef SOURCE_MEMBERSHIP_WATCH_PACE_H_
#define SOURCE_MEMBERSHIP_WATCH_PACE_H_

#include "base/time.h"

namespace hickoryloft::membership {

// What depends on the host's own watch.
enum class WatchRole {
  kGiver,     // Gives orders, or nobody does yet.
  kFeeder,    // Others of its group learn through it.
  kFollower,  // Only this host.
};

// Bounds on what a host may not know.
struct WatchBounds {
  Duration m_drain{};           // On leaving endpoints.
  Duration m_key_withdrawal{};  // On withdrawn keys.
};

struct WatchPace {
  // Between two batches of changes.
  Duration m_batch_pause{};
  // Until a quiet service confirms that nothing has changed.
  Duration m_quiet_wait{};

  // The oldest that what is known at the host can be while the service works,
  // but for its answer time: a batch's age begins with its call.
  Duration OldestView() const { return m_batch_pause + m_quiet_wait; }
};

// Returns the pace: as slow as the bounds allow, since each call is charged.
// Thread-safe.
WatchPace PaceOf(WatchRole role, const WatchBounds& bounds);

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_WATCH_PACE_H_
