#include "host/replica_map.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::host;

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
  map.Take(
      {.m_fence = 1, .m_number = 1, .m_models = {{{kEngine, kModel}, true}}},
      kNow);
  CHECK(map.Serves(Entry(false), kModel, {}, kNow));
  // Repeated news does not live longer.
  const MonotonicTime later = kNow + ReplicaMap::kNewsLife;
  map.Take(
      {.m_fence = 1, .m_number = 2, .m_models = {{{kEngine, kModel}, true}}},
      later - milliseconds(100));
  CHECK_FALSE(map.Serves(Entry(false), kModel, {}, later));
  CHECK(map.Serves(Entry(true), kModel, {}, later));
}

TEST_CASE("News of an earlier giver of orders is not taken") {
  ReplicaMap map;
  CHECK(map.Take({.m_fence = 5, .m_number = 1}, kNow));
  CHECK_FALSE(map.Take({.m_fence = 4, .m_number = 9}, kNow));
  CHECK_FALSE(map.Take({.m_fence = 5, .m_number = 1}, kNow));
  CHECK(map.Take({.m_fence = 6, .m_number = 1}, kNow));
}

TEST_CASE("A leaving model and a proven lack take no requests") {
  ReplicaMap map;
  map.Take({.m_fence = 1, .m_number = 1, .m_leaving = {{kEngine, kModel}}},
           kNow);
  CHECK_FALSE(map.Serves(Entry(true), kModel, {}, kNow));
  map.Take({.m_fence = 1,
            .m_number = 2,
            .m_adapters = {{kEngine, kModel, kAdapter}}},
           kNow);
  CHECK(map.Serves(Entry(true), kModel, kAdapter, kNow));
  map.NoteLack(kEngine, kModel, kAdapter, kNow);
  CHECK_FALSE(map.Serves(Entry(true), kModel, kAdapter, kNow));
  CHECK(map.Serves(Entry(true), kModel, {}, kNow));
  CHECK(
      map.Serves(Entry(true), kModel, kAdapter, kNow + ReplicaMap::kLackPause));
}
