// At most one host holds a claim at any instant, under lost and delayed calls,
// pauses, network partitions and restarts. After all faults end, exactly one
// host holds it.

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "Tests/claims/claim_world.h"

using namespace hickoryloft;
using namespace hickoryloft::claims;

namespace {

constexpr std::size_t kHosts = 3;

enum class ServiceFault { kNone, kOut, kOneCut, kOnlyOneNotCut };
enum class HostEvent { kNone, kRestart, kPause, kRelease };

// A number of steps with the same faults.
struct Phase {
  ServiceFault m_service = ServiceFault::kNone;
  std::size_t m_service_host = 0;
  bool m_cut_peers = false;
  std::size_t m_peer_host = 0;
  HostEvent m_event = HostEvent::kNone;
  std::size_t m_event_host = 0;
  int m_steps = 0;
  Weather m_weather;
  unsigned m_seed = 0;
};

void showValue(const Phase& phase, std::ostream& out) {
  out << "{service " << static_cast<int>(phase.m_service) << '/'
      << phase.m_service_host << ", peers " << phase.m_cut_peers << '/'
      << phase.m_peer_host << ", event " << static_cast<int>(phase.m_event)
      << '/' << phase.m_event_host << ", steps " << phase.m_steps
      << ", weather " << phase.m_weather.m_arrive << ' '
      << phase.m_weather.m_answer << ' ' << phase.m_weather.m_lose << ' '
      << phase.m_weather.m_give_up << ", seed " << phase.m_seed << '}';
}

// Draws from the whole range, independent of the size parameter of the test
// case.
template <typename T>
rc::Gen<T> Between(T minimum, T end) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(minimum, end));
}

rc::Gen<Weather> AnyWeather() {
  return rc::gen::elementOf(std::vector<Weather>{
      {100, 100, 0, 0},  // No faults.
      {100, 100, 0, 0},
      {100, 6, 0, 0},   // Replies are delayed.
      {8, 100, 0, 0},   // Requests are delayed.
      {90, 90, 10, 0},  // Some requests and replies are lost.
      {10, 60, 5, 15},  // Callers time out; requests arrive later.
  });
}

rc::Gen<Phase> AnyPhase() {
  const auto host = Between<std::size_t>(0, kHosts);
  return rc::gen::build<Phase>(
      rc::gen::set(&Phase::m_service, rc::gen::weightedElement<ServiceFault>(
                                          {{4, ServiceFault::kNone},
                                           {2, ServiceFault::kOut},
                                           {4, ServiceFault::kOneCut},
                                           {3, ServiceFault::kOnlyOneNotCut}})),
      rc::gen::set(&Phase::m_service_host, host),
      rc::gen::set(&Phase::m_cut_peers,
                   rc::gen::weightedElement<bool>({{2, false}, {1, true}})),
      rc::gen::set(&Phase::m_peer_host, host),
      rc::gen::set(&Phase::m_event, rc::gen::weightedElement<HostEvent>(
                                        {{8, HostEvent::kNone},
                                         {1, HostEvent::kRestart},
                                         {2, HostEvent::kPause},
                                         {1, HostEvent::kRelease}})),
      rc::gen::set(&Phase::m_event_host, host),
      rc::gen::set(&Phase::m_steps,
                   rc::gen::oneOf(Between(1, 30), Between(1, 120))),
      rc::gen::set(&Phase::m_weather, AnyWeather()),
      rc::gen::set(&Phase::m_seed, rc::gen::arbitrary<unsigned>()));
}

void BeginPhase(ClaimWorld& world, const Phase& phase) {
  world.SetServiceUp(phase.m_service != ServiceFault::kOut);
  for (std::size_t host = 0; host < kHosts; ++host) {
    const bool named = host == phase.m_service_host;
    world.CutFromService(
        host, (phase.m_service == ServiceFault::kOneCut && named) ||
                  (phase.m_service == ServiceFault::kOnlyOneNotCut && !named));
    world.CutPeers(host, phase.m_cut_peers && host == phase.m_peer_host);
    world.Resume(host);
  }
  switch (phase.m_event) {
    case HostEvent::kNone:
      return;
    case HostEvent::kRestart:
      return world.Restart(phase.m_event_host);
    case HostEvent::kPause:
      return world.Pause(phase.m_event_host);
    case HostEvent::kRelease:
      return world.Release(phase.m_event_host);
  }
}

void RunPhase(ClaimWorld& world, const Phase& phase) {
  BeginPhase(world, phase);
  RandomEngine random(phase.m_seed);
  for (int i = 0; i < phase.m_steps; ++i) {
    world.Step(phase.m_weather, random);
    if (world.Holders() > 1) {
      RC_LOG() << world.Describe() << '\n';
    }
    RC_ASSERT(world.Holders() <= 1);
    RC_ASSERT(world.InOrder());
  }
}

void CheckHistories(bool acts_in_outage) {
  std::size_t changes = 0;
  std::size_t hand_overs = 0;
  const bool holds = rc::check([&] {
    const auto phases = *rc::gen::container<std::vector<Phase>>(AnyPhase());
    ClaimWorld world(kHosts, acts_in_outage);
    RandomEngine calm(1);
    for (int i = 0; i < 40; ++i) {
      world.Step({}, calm);
    }
    for (const Phase& phase : phases) {
      RunPhase(world, phase);
    }
    world.Heal(calm);
    if (world.Holders() != 1) {
      RC_LOG() << world.Describe() << '\n';
    }
    RC_ASSERT(world.Holders() == 1);
    changes += world.Changes();
    hand_overs += world.HandOvers();
  });
  CHECK(holds);
  // The generated histories must contain enough changes of the holder and
  // enough hand-overs.
  CHECK(changes > 1000);
  CHECK(hand_overs > 10);
}

}  // namespace

TEST_CASE("At most one host holds a claim at any instant") {
  CheckHistories(/*acts_in_outage=*/true);
}

TEST_CASE("At most one host holds a claim that has no successor") {
  CheckHistories(/*acts_in_outage=*/false);
}
