#include "fleet/endpoint_directory.h"

#include <rapidcheck.h>

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

// A server that says in its answers that it leaves may never register as
// draining, and may renew its registration as ready meanwhile.
TEST_CASE("What an endpoint said of its leaving outlasts its registrations") {
  EndpointDirectory directory;
  auto entry = Entry(1);
  entry.m_number = 1;
  directory.Put(entry);
  CHECK(directory.NoteLeaving(kId, 1));
  CHECK_FALSE(directory.NoteLeaving(kId, 1));
  CHECK_FALSE(directory.Find(kId)->TakesRequests());
  entry.m_number = 2;
  directory.Put(entry);
  CHECK_FALSE(directory.Find(kId)->TakesRequests());
  SECTION("its removal is no lapse") {
    CHECK(directory.Remove(kId, /*disturbed=*/true, {}) == Change::kRemoved);
    entry.m_number = 3;
    directory.Put(entry);
    CHECK_FALSE(directory.Find(kId)->TakesRequests());
  }
  SECTION("a new start under the id knows nothing of it") {
    directory.Put(Entry(2));
    CHECK(directory.Find(kId)->TakesRequests());
    // Late word of the start before changes nothing.
    CHECK_FALSE(directory.NoteLeaving(kId, 1));
    CHECK(directory.Find(kId)->TakesRequests());
  }
  SECTION("word may come before the registration") {
    directory.NoteLeaving(EndpointId("later"), 4);
    auto late = Entry(4);
    late.m_id = EndpointId("later");
    directory.Put(late);
    CHECK_FALSE(directory.Find(late.m_id)->TakesRequests());
  }
}

TEST_CASE("The indices follow every change") {
  CHECK(rc::check([] {
    EndpointDirectory directory;
    std::int64_t number = 0;
    for (int step = 0; step < 60; ++step) {
      const EndpointId id("e" + std::to_string(*rc::gen::inRange(0, 4)));
      if (*rc::gen::inRange(0, 3) == 0) {
        directory.Remove(id, *rc::gen::arbitrary<bool>(), {});
      } else {
        EndpointEntry entry{.m_id = id,
                            .m_service = ServiceId(
                                "s" + std::to_string(*rc::gen::inRange(0, 2))),
                            .m_number = ++number};
        for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
          entry
              .m_models[ModelId("m" + std::to_string(*rc::gen::inRange(0, 4)))];
        }
        directory.Put(entry);
      }
      for (int i = 0; i < 4; ++i) {
        const ModelId model("m" + std::to_string(i));
        const ServiceId service("s" + std::to_string(i));
        std::set<EndpointId> holders;
        std::set<EndpointId> of_service;
        for (const auto& [known, entry] : directory.entries()) {
          if (entry.m_models.contains(model)) {
            holders.insert(known);
          }
          if (entry.m_service == service) {
            of_service.insert(known);
          }
        }
        RC_ASSERT(directory.HoldersOf(model) == holders);
        RC_ASSERT(directory.EndpointsOf(service) == of_service);
      }
    }
  }));
}
