#include "placement/replica_map.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::placement;

namespace {

const EndpointId kEngine("e");
const ModelId kModel("m");
const AdapterId kAdapter("a1");
const MonotonicTime kNow{seconds(10)};

fleet::EndpointEntry Entry(bool holds) {
  fleet::EndpointEntry entry{.m_id = kEngine};
  if (holds) {
    entry.m_models[kModel];
  }
  return entry;
}

}  // namespace

TEST_CASE("Placement state overrides the registration for a limited time") {
  ReplicaMap map;
  CHECK_FALSE(map.Serves(Entry(false), kModel, {}, kNow));
  const PlacementState loaded{.m_models = {{{kEngine, kModel}, true}}};
  map.Publish(1, loaded, kNow);
  CHECK(map.Serves(Entry(false), kModel, {}, kNow));
  // Publishing the same state again does not extend the time.
  const MonotonicTime later = kNow + ReplicaMap::kUpdateLifetime;
  map.Publish(1, loaded, later - milliseconds(100));
  CHECK_FALSE(map.Serves(Entry(false), kModel, {}, later));
  CHECK(map.Serves(Entry(true), kModel, {}, later));
}

TEST_CASE("Updates of an earlier leader are ignored") {
  ReplicaMap map;
  CHECK(map.ApplyUpdate({.m_version = {5, 1}, .m_is_full_state = true}, kNow));
  CHECK_FALSE(
      map.ApplyUpdate({.m_version = {4, 9}, .m_is_full_state = true}, kNow));
  CHECK_FALSE(
      map.ApplyUpdate({.m_version = {5, 1}, .m_is_full_state = true}, kNow));
  CHECK(map.ApplyUpdate({.m_version = {6, 1}, .m_is_full_state = true}, kNow));
}

TEST_CASE("Models in unload and models found missing get no requests") {
  ReplicaMap map;
  map.Publish(1, {.m_unloading = {{kEngine, kModel}}}, kNow);
  CHECK_FALSE(map.Serves(Entry(true), kModel, {}, kNow));
  map.Publish(1, {.m_adapters = {{kEngine, kModel, kAdapter}}}, kNow);
  CHECK(map.Serves(Entry(true), kModel, kAdapter, kNow));
  map.RecordMissing(kEngine, kModel, kAdapter, kNow);
  CHECK_FALSE(map.Serves(Entry(true), kModel, kAdapter, kNow));
  CHECK(map.Serves(Entry(true), kModel, {}, kNow));
  CHECK(map.Serves(Entry(true), kModel, kAdapter,
                   kNow + ReplicaMap::kMissingPause));
}

// A request is matched only against the endpoints that may hold its model.
// Iterating over a fleet of hundreds for each waiting request took most of a
// host's processor.
TEST_CASE("Endpoints that have a model are found without a full scan") {
  ReplicaMap map;
  PlacementState state;
  for (int i = 0; i < 300; ++i) {
    state.m_models[{EndpointId("e" + std::to_string(i)),
                    ModelId("m" + std::to_string(i / 2))}] = i != 5;
  }
  map.Publish(1, state, kNow);
  CHECK(map.PublishedHolders(ModelId("m0")) ==
        std::vector{EndpointId("e0"), EndpointId("e1")});
  CHECK(map.PublishedHolders(ModelId("m2")) == std::vector{EndpointId("e4")});
  CHECK(map.PublishedHolders(ModelId("none")).empty());
}

// An engine's report arrives milliseconds after the leader received SIGTERM and
// released its lease. Publishing then terminated the process and with it all
// streams (LOST on jarro-ne trouble-2).
TEST_CASE("Publishing after the lease was released changes nothing") {
  ReplicaMap map;
  map.Publish(15, {.m_models = {{{kEngine, kModel}, true}}}, kNow);
  const PlacementVersion before = map.log().version();
  CHECK_FALSE(map.Publish(0, {}, kNow));
  CHECK_FALSE(map.Publish(14, {.m_unloading = {{kEngine, kModel}}}, kNow));
  CHECK(map.log().version() == before);
  CHECK(map.Serves(Entry(false), kModel, {}, kNow));
}
