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

TEST_CASE("News goes before the registration, for a while") {
  ReplicaMap map;
  CHECK_FALSE(map.Serves(Entry(false), kModel, {}, kNow));
  const PlacementNews loaded{.m_models = {{{kEngine, kModel}, true}}};
  map.Announce(1, loaded, kNow);
  CHECK(map.Serves(Entry(false), kModel, {}, kNow));
  // Repeated news does not live longer.
  const MonotonicTime later = kNow + ReplicaMap::kNewsLife;
  map.Announce(1, loaded, later - milliseconds(100));
  CHECK_FALSE(map.Serves(Entry(false), kModel, {}, later));
  CHECK(map.Serves(Entry(true), kModel, {}, later));
}

TEST_CASE("News of an earlier giver of orders is not taken") {
  ReplicaMap map;
  CHECK(map.Take({.m_position = {5, 1}, .m_whole = true}, kNow));
  CHECK_FALSE(map.Take({.m_position = {4, 9}, .m_whole = true}, kNow));
  CHECK_FALSE(map.Take({.m_position = {5, 1}, .m_whole = true}, kNow));
  CHECK(map.Take({.m_position = {6, 1}, .m_whole = true}, kNow));
}

TEST_CASE("A leaving model and a proven lack take no requests") {
  ReplicaMap map;
  map.Announce(1, {.m_leaving = {{kEngine, kModel}}}, kNow);
  CHECK_FALSE(map.Serves(Entry(true), kModel, {}, kNow));
  map.Announce(1, {.m_adapters = {{kEngine, kModel, kAdapter}}}, kNow);
  CHECK(map.Serves(Entry(true), kModel, kAdapter, kNow));
  map.NoteLack(kEngine, kModel, kAdapter, kNow);
  CHECK_FALSE(map.Serves(Entry(true), kModel, kAdapter, kNow));
  CHECK(map.Serves(Entry(true), kModel, {}, kNow));
  CHECK(
      map.Serves(Entry(true), kModel, kAdapter, kNow + ReplicaMap::kLackPause));
}

// A request is matched against the few endpoints that may hold its model; a
// walk over all of a fleet of hundreds for each waiting request took most of a
// host's processor.
TEST_CASE("Announced holders of a model are found without a walk") {
  ReplicaMap map;
  PlacementNews news;
  for (int i = 0; i < 300; ++i) {
    news.m_models[{EndpointId("e" + std::to_string(i)),
                   ModelId("m" + std::to_string(i / 2))}] = i != 5;
  }
  map.Announce(1, news, kNow);
  CHECK(map.AnnouncedHolders(ModelId("m0")) ==
        std::vector{EndpointId("e0"), EndpointId("e1")});
  CHECK(map.AnnouncedHolders(ModelId("m2")) == std::vector{EndpointId("e4")});
  CHECK(map.AnnouncedHolders(ModelId("none")).empty());
}

// LOST on jarro-ne trouble-2: an engine's report came milliseconds after the
// giver of orders had got SIGTERM and given up its right; the announcement
// ended the process and with it all streams.
TEST_CASE("An announcement after the right was given up changes nothing") {
  ReplicaMap map;
  map.Announce(15, {.m_models = {{{kEngine, kModel}, true}}}, kNow);
  const NewsPosition before = map.log().position();
  CHECK_FALSE(map.Announce(0, {}, kNow));
  CHECK_FALSE(map.Announce(14, {.m_leaving = {{kEngine, kModel}}}, kNow));
  CHECK(map.log().position() == before);
  CHECK(map.Serves(Entry(false), kModel, {}, kNow));
}
