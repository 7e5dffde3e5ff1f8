#include "membership/watch_intervals.h"

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
  CHECK(WatchIntervalsFor(WatchRole::kLeader, bounds).MaxViewAge() < ready);
  CHECK(WatchIntervalsFor(WatchRole::kLeaf, bounds).MaxViewAge() < ready);
  CHECK(WatchIntervalsFor(WatchRole::kRelay, bounds).MaxViewAge() +
            kRelayDelay <
        ready);
}

TEST_CASE("Leaving endpoints are detected within a third of their bound") {
  const auto drain = GENERATE(seconds(1), seconds(2), seconds(4));
  const WatchBounds bounds{.m_drain = drain, .m_key_withdrawal = seconds(5)};
  for (const WatchRole role :
       {WatchRole::kLeader, WatchRole::kRelay, WatchRole::kLeaf}) {
    CHECK(3 * WatchIntervalsFor(role, bounds).m_batch_pause <= drain);
  }
}

TEST_CASE("Hosts that others depend on poll more often") {
  const WatchBounds bounds{.m_drain = seconds(4),
                           .m_key_withdrawal = seconds(5)};
  CHECK(WatchIntervalsFor(WatchRole::kLeader, bounds).m_batch_pause <
        WatchIntervalsFor(WatchRole::kRelay, bounds).m_batch_pause);
  CHECK(WatchIntervalsFor(WatchRole::kRelay, bounds).m_batch_pause <
        WatchIntervalsFor(WatchRole::kLeaf, bounds).m_batch_pause);
}

TEST_CASE("A host asks the service itself before a bound on its view is over") {
  // The answer of a slow service, and the transfer of a request.
  constexpr Duration kRest = milliseconds(200);
  const auto withdrawal = GENERATE(seconds(3), seconds(5), seconds(20));
  const auto drain = GENERATE(seconds(1), seconds(2), seconds(4), seconds(30));
  const WatchIntervals intervals = WatchIntervalsFor(
      WatchRole::kLeaf, {.m_drain = drain, .m_key_withdrawal = withdrawal});
  CHECK(intervals.m_max_relayed_age + kRest <= drain);
  CHECK(intervals.m_max_relayed_age <
        FromSeconds(kReadyFraction * ToSeconds(withdrawal)));
}

TEST_CASE("The view of a working relay is recent enough for its group") {
  const auto drain = GENERATE(seconds(3), seconds(4));
  const WatchBounds bounds{.m_drain = drain, .m_key_withdrawal = seconds(5)};
  CHECK(WatchIntervalsFor(WatchRole::kRelay, bounds).MaxViewAge() +
            kRelayDelay <
        WatchIntervalsFor(WatchRole::kLeaf, bounds).m_max_relayed_age);
}

TEST_CASE("A bound on evacuations shortens the intervals where it is shorter") {
  const WatchBounds without{.m_drain = seconds(4),
                            .m_key_withdrawal = seconds(20)};
  WatchBounds with = without;
  with.m_evacuation = seconds(3);
  for (const WatchRole role :
       {WatchRole::kLeader, WatchRole::kRelay, WatchRole::kLeaf}) {
    const WatchIntervals intervals = WatchIntervalsFor(role, with);
    CHECK(intervals.MaxViewAge() < FromSeconds(kReadyFraction * 3));
    CHECK(intervals.m_max_relayed_age <= FromSeconds(0.5 * 3));
    with.m_evacuation = seconds(30);
    CHECK(WatchIntervalsFor(role, with).MaxViewAge() ==
          WatchIntervalsFor(role, without).MaxViewAge());
    with.m_evacuation = seconds(3);
  }
}
