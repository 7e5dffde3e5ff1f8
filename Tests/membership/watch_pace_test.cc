#include "membership/watch_pace.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::membership;

namespace {

// Fraction of the key bound from which on a host asks for no new connections.
constexpr double kReadyFraction = 0.55;
// A report to the relay, and one from the relay to its group; reports are sent
// every 250 ms.
constexpr Duration kRelayDelay = milliseconds(500);

}  // namespace

// Deployments differ in how fast a withdrawn key must stop working. With any
// bound, hosts must stay ready while the service answers and nothing changes.
TEST_CASE(
    "A view that is polled at the computed intervals is recent enough to "
    "serve") {
  const auto withdrawal = GENERATE(seconds(3), seconds(5), seconds(20));
  const auto drain = GENERATE(seconds(1), seconds(2), seconds(4), seconds(30));
  const WatchBounds bounds{.m_drain = drain, .m_key_withdrawal = withdrawal};
  const Duration ready = FromSeconds(kReadyFraction * ToSeconds(withdrawal));
  CHECK(PaceOf(WatchRole::kGiver, bounds).OldestView() < ready);
  CHECK(PaceOf(WatchRole::kFollower, bounds).OldestView() < ready);
  CHECK(PaceOf(WatchRole::kFeeder, bounds).OldestView() + kRelayDelay < ready);
}

TEST_CASE("Leaving endpoints are detected within a third of their bound") {
  const auto drain = GENERATE(seconds(1), seconds(2), seconds(4));
  const WatchBounds bounds{.m_drain = drain, .m_key_withdrawal = seconds(5)};
  for (const WatchRole role :
       {WatchRole::kGiver, WatchRole::kFeeder, WatchRole::kFollower}) {
    CHECK(3 * PaceOf(role, bounds).m_batch_pause <= drain);
  }
}

TEST_CASE("Hosts that others depend on poll more often") {
  const WatchBounds bounds{.m_drain = seconds(4),
                           .m_key_withdrawal = seconds(5)};
  CHECK(PaceOf(WatchRole::kGiver, bounds).m_batch_pause <
        PaceOf(WatchRole::kFeeder, bounds).m_batch_pause);
  CHECK(PaceOf(WatchRole::kFeeder, bounds).m_batch_pause <
        PaceOf(WatchRole::kFollower, bounds).m_batch_pause);
}
