// At most one host holds a claim at any instant, under lost and delayed calls,
// pauses, network partitions and restarts. After all faults end, exactly one
// host holds it.

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "Tests/claims/claim_simulation.h"

using namespace hickoryloft;
using namespace hickoryloft::claims;

namespace {

constexpr std::size_t kHosts = 3;

enum class ServiceFault {
  kNone,
  kOutage,
  kOnePartitioned,
  kAllButOnePartitioned
};
enum class HostEvent { kNone, kRestart, kPause, kRelease };

// A number of steps with the same faults.
struct Phase {
  ServiceFault m_service = ServiceFault::kNone;
  std::size_t m_service_host = 0;
  bool m_partition_peers = false;
  std::size_t m_peer_host = 0;
  HostEvent m_event = HostEvent::kNone;
  std::size_t m_event_host = 0;
  int m_steps = 0;
  NetworkConditions m_network;
  unsigned m_seed = 0;
};

void showValue(const Phase& phase, std::ostream& out) {
  out << "{service " << static_cast<int>(phase.m_service) << '/'
      << phase.m_service_host << ", peers " << phase.m_partition_peers << '/'
      << phase.m_peer_host << ", event " << static_cast<int>(phase.m_event)
      << '/' << phase.m_event_host << ", steps " << phase.m_steps
      << ", weather " << phase.m_network.m_arrive << ' '
      << phase.m_network.m_answer << ' ' << phase.m_network.m_lose << ' '
      << phase.m_network.m_give_up << ", seed " << phase.m_seed << '}';
}

// Draws from the whole range, independent of the size parameter of the test
// case.
template <typename T>
rc::Gen<T> Between(T minimum, T end) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(minimum, end));
}

rc::Gen<NetworkConditions> AnyNetworkConditions() {
  return rc::gen::elementOf(std::vector<NetworkConditions>{
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
      rc::gen::set(&Phase::m_service,
                   rc::gen::weightedElement<ServiceFault>(
                       {{4, ServiceFault::kNone},
                        {2, ServiceFault::kOutage},
                        {4, ServiceFault::kOnePartitioned},
                        {3, ServiceFault::kAllButOnePartitioned}})),
      rc::gen::set(&Phase::m_service_host, host),
      rc::gen::set(&Phase::m_partition_peers,
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
      rc::gen::set(&Phase::m_network, AnyNetworkConditions()),
      rc::gen::set(&Phase::m_seed, rc::gen::arbitrary<unsigned>()));
}

void BeginPhase(ClaimSimulation& simulation, const Phase& phase) {
  simulation.SetServiceUp(phase.m_service != ServiceFault::kOutage);
  for (std::size_t host = 0; host < kHosts; ++host) {
    const bool named = host == phase.m_service_host;
    simulation.PartitionFromService(
        host,
        (phase.m_service == ServiceFault::kOnePartitioned && named) ||
            (phase.m_service == ServiceFault::kAllButOnePartitioned && !named));
    simulation.PartitionFromPeers(
        host, phase.m_partition_peers && host == phase.m_peer_host);
    simulation.Resume(host);
  }
  switch (phase.m_event) {
    case HostEvent::kNone:
      return;
    case HostEvent::kRestart:
      return simulation.Restart(phase.m_event_host);
    case HostEvent::kPause:
      return simulation.Pause(phase.m_event_host);
    case HostEvent::kRelease:
      return simulation.Release(phase.m_event_host);
  }
}

void RunPhase(ClaimSimulation& simulation, const Phase& phase) {
  BeginPhase(simulation, phase);
  RandomEngine random(phase.m_seed);
  for (int i = 0; i < phase.m_steps; ++i) {
    simulation.Step(phase.m_network, random);
    if (simulation.Holders() > 1) {
      RC_LOG() << simulation.Describe() << '\n';
    }
    RC_ASSERT(simulation.Holders() <= 1);
    RC_ASSERT(simulation.InOrder());
  }
}

void CheckHistories(bool acts_in_outage) {
  std::size_t changes = 0;
  std::size_t hand_overs = 0;
  const bool holds = rc::check([&] {
    const auto phases = *rc::gen::container<std::vector<Phase>>(AnyPhase());
    ClaimSimulation simulation(kHosts, acts_in_outage);
    RandomEngine no_fault_random(1);
    for (int i = 0; i < 40; ++i) {
      simulation.Step({}, no_fault_random);
    }
    for (const Phase& phase : phases) {
      RunPhase(simulation, phase);
    }
    simulation.Heal(no_fault_random);
    if (simulation.Holders() != 1) {
      RC_LOG() << simulation.Describe() << '\n';
    }
    RC_ASSERT(simulation.Holders() == 1);
    changes += simulation.Changes();
    hand_overs += simulation.HandOvers();
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
