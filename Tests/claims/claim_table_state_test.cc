// At most one host holds a claim at any instant, whatever is lost, late,
// paused, cut or restarted; and once all is well, one host does.

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "Tests/claims/claim_world.h"

using namespace hickoryloft;
using namespace hickoryloft::claims;

namespace {

struct Action {
  int m_kind = 0;
  int m_host = 0;
  int m_amount = 0;
};

void showValue(const Action& action, std::ostream& out) {
  out << '{' << action.m_kind << ',' << action.m_host << ',' << action.m_amount
      << '}';
}

constexpr std::size_t kHosts = 3;

rc::Gen<Action> AnyAction() {
  // Deliveries and time dominate, so that something happens between faults.
  const auto kind = rc::gen::weightedElement<int>({{14, 0},
                                                   {10, 1},
                                                   {6, 2},
                                                   {2, 3},
                                                   {2, 4},
                                                   {2, 5},
                                                   {2, 6},
                                                   {2, 7},
                                                   {2, 8},
                                                   {2, 9},
                                                   {2, 10},
                                                   {1, 11},
                                                   {3, 12},
                                                   {2, 13},
                                                   {1, 14}});
  return rc::gen::map(rc::gen::tuple(kind, rc::gen::inRange<int>(0, kHosts),
                                     rc::gen::inRange(0, 40)),
                      [](const std::tuple<int, int, int>& parts) {
                        return Action{std::get<0>(parts), std::get<1>(parts),
                                      std::get<2>(parts)};
                      });
}

void Do(ClaimWorld& world, const Action& action) {
  const auto host = static_cast<std::size_t>(action.m_host);
  const auto amount = static_cast<std::size_t>(action.m_amount);
  switch (action.m_kind) {
    case 0:
      return world.Deliver(amount, Fault::kNone);
    case 1:
      return world.DeliverAll();
    case 2:
      return world.Advance(milliseconds(250) * action.m_amount);
    case 3:
      return world.Deliver(amount, Fault::kLoseRequest);
    case 4:
      return world.Deliver(amount, Fault::kLoseReply);
    case 5:
      return world.Deliver(amount, Fault::kTimeOut);
    case 6:
      return world.Pause(host);
    case 7:
      return world.Resume(host);
    case 8:
      return world.CutFromService(host, amount % 2 == 0);
    case 9:
      return world.CutPeers(host, amount % 3 == 0);
    case 10:
      return world.SetServiceUp(amount % 2 == 0);
    case 11:
      return world.Restart(host);
    case 12:
      // A while in which everything under way is delivered.
      for (int i = 0; i < action.m_amount; ++i) {
        world.DeliverAll();
        world.Advance(milliseconds(250));
        RC_ASSERT(world.Holders() <= 1);
      }
      return;
    case 13:
      return world.Release(host);
    default:
      return world.Advance(seconds(2) * action.m_amount);
  }
}

}  // namespace

TEST_CASE("At most one host holds a claim at any instant") {
  std::size_t changes = 0;
  std::size_t hand_overs = 0;
  const bool holds = rc::check([&] {
    const auto actions = *rc::gen::container<std::vector<Action>>(AnyAction());
    ClaimWorld world(kHosts);
    for (const Action& action : actions) {
      Do(world, action);
      if (world.Holders() > 1) {
        RC_LOG() << world.Describe() << '\n';
      }
      RC_ASSERT(world.Holders() <= 1);
      RC_ASSERT(world.InOrder());
    }
    world.Heal();
    if (world.Holders() != 1) {
      RC_LOG() << world.Describe() << '\n';
    }
    RC_ASSERT(world.Holders() == 1);
    changes += world.Changes();
    hand_overs += world.HandOvers();
  });
  CHECK(holds);
  // The runs reach what they are meant to test.
  CHECK(changes > 1000);
  CHECK(hand_overs > 10);
}
