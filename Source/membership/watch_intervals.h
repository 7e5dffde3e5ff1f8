// How often a host polls the key-value service for changes.

#ifndef SOURCE_MEMBERSHIP_WATCH_INTERVALS_H_
#define SOURCE_MEMBERSHIP_WATCH_INTERVALS_H_

#include <optional>

#include "base/time.h"

namespace hickoryloft::membership {

// Which other hosts depend on a host's watch.
enum class WatchRole {
  kLeader,  // The placement leader, or a host while there is none.
  kRelay,   // Other hosts of its group receive changes through it.
  kLeaf,    // No other host depends on it.
};

// How long a host may be unaware of a change.
struct WatchBounds {
  Duration m_drain{};           // An endpoint is leaving.
  Duration m_key_withdrawal{};  // A caller's key was withdrawn.
  // A failure domain is to be emptied; nothing: no bound.
  std::optional<Duration> m_evacuation;
};

struct WatchIntervals {
  // Pause between two batches of changes.
  Duration m_batch_pause{};
  // Time after which the service answers a poll if nothing has changed.
  Duration m_quiet_wait{};
  // Age of a view received through a relay from which on the host asks the
  // service itself.
  Duration m_max_relayed_age{};

  // Returns the maximum age of the host's view while the service works, not
  // counting its response time: the age of a batch is counted from the call
  // that fetched it.
  Duration MaxViewAge() const { return m_batch_pause + m_quiet_wait; }
};

// Returns the longest intervals that the bounds allow, since each call to the
// service is charged. Thread-safe.
WatchIntervals WatchIntervalsFor(WatchRole role, const WatchBounds& bounds);

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_WATCH_INTERVALS_H_
