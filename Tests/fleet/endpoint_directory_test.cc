#include "fleet/endpoint_directory.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::fleet;
using Change = EndpointDirectory::Change;

namespace {

const EndpointId kId("e");

EndpointEntry Entry(std::int64_t started_at = 1,
                    EndpointState state = EndpointState::kReady) {
  return {.m_id = kId, .m_state = state, .m_started_at_ms = started_at};
}

}  // namespace

TEST_CASE("A removed endpoint is gone at once while the service works") {
  EndpointDirectory directory;
  CHECK(directory.Put(Entry()) == Change::kAdded);
  CHECK(directory.Remove(kId, /*disturbed=*/false, {}) == Change::kRemoved);
  CHECK(directory.Find(kId) == nullptr);
  CHECK(directory.Remove(kId, false, {}) == Change::kNone);
}

TEST_CASE("An entry that lapsed in an outage is kept until it may be back") {
  EndpointDirectory directory;
  const MonotonicTime now{seconds(5)};
  directory.Put(Entry());
  CHECK(directory.Remove(kId, /*disturbed=*/true, now) == Change::kLapsed);
  CHECK(directory.Find(kId) != nullptr);
  CHECK(directory.DropLapsed(now + milliseconds(500)).empty());
  SECTION("it returns") {
    directory.Put(Entry());
    CHECK(directory.DropLapsed(now + seconds(10)).empty());
    CHECK(directory.Find(kId) != nullptr);
  }
  SECTION("it does not return") {
    CHECK(directory.DropLapsed(now + EndpointDirectory::kLapsedGrace).size() ==
          1);
    CHECK(directory.Find(kId) == nullptr);
  }
}

TEST_CASE("A leaving endpoint is gone even if the service is disturbed") {
  EndpointDirectory directory;
  directory.Put(Entry(1, EndpointState::kDraining));
  CHECK(directory.Remove(kId, /*disturbed=*/true, {}) == Change::kRemoved);
}

TEST_CASE("A new start under the same id is told apart") {
  EndpointDirectory directory;
  directory.Put(Entry(1));
  CHECK(directory.Put(Entry(1)) == Change::kUpdated);
  CHECK(directory.Put(Entry(2)) == Change::kRestarted);
}

// LIMIT on swt-visits-grown quiet-1: a registration written late listed models
// as they had been before the last orders.
TEST_CASE("A registration that arrives late changes nothing") {
  EndpointDirectory directory;
  EndpointEntry newer = Entry();
  newer.m_number = 8;
  newer.m_models[ModelId("new")];
  EndpointEntry older = Entry();
  older.m_number = 7;
  older.m_models[ModelId("old")];
  directory.Put(newer);
  CHECK(directory.Put(older) == Change::kNone);
  CHECK(directory.Find(kId)->m_models.contains(ModelId("new")));
  CHECK(directory.Put(Entry(0)) == Change::kNone);  // Of an earlier start.

  directory.Remove(kId, false, {});
  CHECK(directory.Put(older) == Change::kNone);
  CHECK(directory.Put(newer) == Change::kNone);
  CHECK(directory.Find(kId) == nullptr);
  newer.m_number = 9;
  CHECK(directory.Put(newer) == Change::kAdded);
}
