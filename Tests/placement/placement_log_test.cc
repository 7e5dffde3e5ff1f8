// Placement state is sent as changes: sending the full state saturated 10
// Mbit/s links in a fleet of 60 machines with 375 adapters.

#include "placement/placement_log.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

using namespace hickoryloft;
using namespace hickoryloft::placement;

namespace {

const MonotonicTime kNow{seconds(10)};

PlacementState RandomState() {
  PlacementState state;
  const auto name = [](const char* kind) {
    return kind + std::to_string(*rc::gen::inRange(0, 4));
  };
  for (int i = *rc::gen::inRange(0, 6); i > 0; --i) {
    state.m_adapters.emplace(EndpointId(name("e")), ModelId(name("m")),
                             AdapterId(name("a")));
  }
  for (int i = *rc::gen::inRange(0, 2); i > 0; --i) {
    state.m_unloading.emplace(EndpointId(name("e")), ModelId(name("m")));
  }
  return state;
}

bool SameFacts(const PlacementLog& left, const PlacementLog& right) {
  for (int e = 0; e < 4; ++e) {
    for (int m = 0; m < 4; ++m) {
      const EndpointId endpoint("e" + std::to_string(e));
      const ModelId model("m" + std::to_string(m));
      if (left.IsUnloading(endpoint, model) !=
          right.IsUnloading(endpoint, model)) {
        return false;
      }
      for (int a = 0; a < 4; ++a) {
        const AdapterId adapter("a" + std::to_string(a));
        if (left.HoldsAdapter(endpoint, model, adapter) !=
            right.HoldsAdapter(endpoint, model, adapter)) {
          return false;
        }
      }
    }
  }
  return true;
}

}  // namespace

TEST_CASE("One more adapter costs one change, however many are loaded") {
  PlacementLog leader;
  PlacementState state;
  for (int i = 0; i < 2000; ++i) {
    state.m_adapters.emplace(EndpointId("e" + std::to_string(i / 8)),
                             ModelId("m"), AdapterId("a" + std::to_string(i)));
  }
  leader.Publish(3, state, kNow);
  const PlacementVersion known = leader.version();
  state.m_adapters.emplace(EndpointId("e1"), ModelId("m"), AdapterId("more"));
  REQUIRE(leader.Publish(3, state, kNow));
  const auto update = leader.Since(known, kNow);
  REQUIRE(update);
  CHECK_FALSE(update->m_is_full_state);
  CHECK(update->m_changes.size() == 1);
  CHECK_FALSE(leader.Publish(3, state, kNow));
  CHECK_FALSE(leader.Since(leader.version(), kNow));
}

TEST_CASE("A host that lags beyond the log is sent the full state") {
  PlacementLog leader;
  leader.Publish(1, {}, kNow);
  const PlacementVersion known = leader.version();
  for (std::size_t i = 0; i <= PlacementLog::kMaxChanges; ++i) {
    leader.Publish(1,
                   {.m_adapters = {{EndpointId("e"), ModelId("m"),
                                    AdapterId("a" + std::to_string(i))}}},
                   kNow);
  }
  const auto update = leader.Since(known, kNow);
  REQUIRE(update);
  CHECK(update->m_is_full_state);
  CHECK(update->m_changes.size() == 1);
}

TEST_CASE("A load expires from the state, also from the full state") {
  PlacementLog leader;
  leader.Publish(1, {.m_models = {{{EndpointId("e"), ModelId("m")}, true}}},
                 kNow);
  CHECK(leader.Since({}, kNow)->m_changes.size() == 1);
  CHECK(leader
            .Since({},
                   kNow + PlacementLog::kModelChangeLifetime + milliseconds(1))
            ->m_changes.empty());
}

// Changes arrive through several relays, late, repeatedly and with gaps, and
// the leader changes: all hosts at the leader's version have the same state.
TEST_CASE("Hosts at the same version have the same state") {
  CHECK(rc::check([] {
    PlacementLog leader;
    std::vector<PlacementLog> hosts(3);
    std::vector<PlacementUpdate> messages;
    FencingNumber fence = 1;
    for (int step = 0; step < 60; ++step) {
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          if (*rc::gen::inRange(0, 5) == 0) {
            ++fence;
          }
          [[fallthrough]];
        case 1:
          leader.Publish(fence, RandomState(), kNow);
          break;
        case 2:
          messages.push_back(
              leader
                  .Since(hosts[*rc::gen::inRange<std::size_t>(0, 3)].version(),
                         kNow)
                  .value_or(PlacementUpdate{}));
          break;
        case 3: {
          const auto from = *rc::gen::inRange<std::size_t>(0, 3);
          const auto to = *rc::gen::inRange<std::size_t>(0, 3);
          messages.push_back(hosts[from]
                                 .Since(hosts[to].version(), kNow)
                                 .value_or(PlacementUpdate{}));
          break;
        }
        default:
          if (!messages.empty()) {
            const auto at = *rc::gen::inRange<std::size_t>(0, messages.size());
            hosts[*rc::gen::inRange<std::size_t>(0, 3)].ApplyUpdate(
                messages[at], kNow);
          }
      }
      for (const PlacementLog& host : hosts) {
        if (host.version() == leader.version()) {
          RC_ASSERT(SameFacts(host, leader));
        }
      }
    }
    for (PlacementLog& host : hosts) {
      if (const auto update = leader.Since(host.version(), kNow)) {
        host.ApplyUpdate(*update, kNow);
      }
      RC_ASSERT(host.version() == leader.version());
      RC_ASSERT(SameFacts(host, leader));
    }
  }));
}
