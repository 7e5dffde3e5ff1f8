#include "membership/watch_intervals.h"

#include <algorithm>

namespace hickoryloft::membership {

namespace {

// Fractions of the bounds, and an upper limit, for the pause and for the wait.
// Together with the time that a report takes to reach its group, the fractions
// of the key bound stay below the half of it from which a host asks for no new
// connections.
struct RoleLimits {
  double m_drain_fraction = 0;
  double m_pause_fraction = 0;
  Duration m_max_pause{};
  double m_wait_fraction = 0;
  Duration m_max_wait{};
};

// The placement leader gets the results of model loads from the engines. It
// needs the watch most for engines that leave or restart.
constexpr RoleLimits kLeaderLimits{.m_drain_fraction = 0.3,
                                   .m_pause_fraction = 0.2,
                                   .m_max_pause = milliseconds(250),
                                   .m_wait_fraction = 0.3,
                                   .m_max_wait = milliseconds(1500)};
// The view of such a host is half a second older when it reaches its group.
constexpr RoleLimits kRelayLimits{.m_drain_fraction = 0.2,
                                  .m_pause_fraction = 0.16,
                                  .m_max_pause = milliseconds(800),
                                  .m_wait_fraction = 0.16,
                                  .m_max_wait = milliseconds(800)};
constexpr RoleLimits kLeafLimits{.m_drain_fraction = 0.3,
                                 .m_pause_fraction = 0.24,
                                 .m_max_pause = milliseconds(1500),
                                 .m_wait_fraction = 0.3,
                                 .m_max_wait = milliseconds(1500)};

// The rest of each bound covers the answer of the service and the transfer of
// the requests that were sent before it arrived. The share of the key bound
// lies below that from which a host asks for no new connections.
constexpr double kRelayedDrainFraction = 0.8;
constexpr double kRelayedKeyFraction = 0.5;
constexpr Duration kMaxRelayedAge = milliseconds(2400);

const RoleLimits& LimitsOf(WatchRole role) {
  switch (role) {
    case WatchRole::kLeader:
      return kLeaderLimits;
    case WatchRole::kRelay:
      return kRelayLimits;
    case WatchRole::kLeaf:
      return kLeafLimits;
  }
  return kLeafLimits;
}

Duration Fraction(double fraction, Duration bound) {
  return FromSeconds(fraction * ToSeconds(bound));
}

}  // namespace

WatchIntervals WatchIntervalsFor(WatchRole role, const WatchBounds& bounds) {
  const RoleLimits& limits = LimitsOf(role);
  // A host may use neither a withdrawn key nor an evacuated failure domain, so
  // the shorter bound sets how old its view may be.
  const Duration view_bound =
      std::min(bounds.m_key_withdrawal,
               bounds.m_evacuation.value_or(bounds.m_key_withdrawal));
  return {.m_batch_pause =
              std::min({limits.m_max_pause,
                        Fraction(limits.m_drain_fraction, bounds.m_drain),
                        Fraction(limits.m_pause_fraction, view_bound)}),
          .m_quiet_wait = std::min(
              limits.m_max_wait, Fraction(limits.m_wait_fraction, view_bound)),
          .m_max_relayed_age = std::min(
              {kMaxRelayedAge, Fraction(kRelayedDrainFraction, bounds.m_drain),
               Fraction(kRelayedKeyFraction, view_bound)})};
}

}  // namespace hickoryloft::membership
