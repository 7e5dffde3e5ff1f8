#include "fleet/endpoint_directory.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::fleet;
using Change = EndpointDirectory::Change;

namespace {

const EndpointId kId("e");
constexpr MonotonicTime kKeepUntil{seconds(5)};

EndpointEntry Entry(std::int64_t started_at = 1,
                    EndpointState state = EndpointState::kReady) {
  return {.m_id = kId, .m_state = state, .m_started_at_ms = started_at};
}

}  // namespace

TEST_CASE("An endpoint is removed at once while the service works") {
  EndpointDirectory directory;
  CHECK(directory.Put(Entry()) == Change::kAdded);
  CHECK(directory.Remove(kId, std::nullopt) == Change::kRemoved);
  CHECK(directory.Find(kId) == nullptr);
  CHECK(directory.Remove(kId, std::nullopt) == Change::kNone);
}

TEST_CASE("An entry that lapsed in an outage is kept until the time given") {
  EndpointDirectory directory;
  directory.Put(Entry());
  CHECK(directory.Remove(kId, kKeepUntil) == Change::kLapsed);
  CHECK(directory.Find(kId) != nullptr);
  CHECK(directory.DropLapsed(kKeepUntil - milliseconds(1)).empty());
  SECTION("it registers again") {
    directory.Put(Entry());
    CHECK(directory.DropLapsed(kKeepUntil + seconds(10)).empty());
    CHECK(directory.Find(kId) != nullptr);
  }
  SECTION("it does not register again") {
    CHECK(directory.DropLapsed(kKeepUntil).size() == 1);
    CHECK(directory.Find(kId) == nullptr);
  }
}

TEST_CASE("A leaving endpoint is removed at once even in an outage") {
  EndpointDirectory directory;
  directory.Put(Entry(1, EndpointState::kDraining));
  CHECK(directory.Remove(kId, kKeepUntil) == Change::kRemoved);
}

TEST_CASE("A restart under the same id is detected") {
  EndpointDirectory directory;
  directory.Put(Entry(1));
  CHECK(directory.Put(Entry(1)) == Change::kUpdated);
  CHECK(directory.Put(Entry(2)) == Change::kRestarted);
}

// Guards against a registration that is written late and lists the models as
// they were before the last orders (LIMIT on swt-visits-grown quiet-1).
TEST_CASE("A registration that arrives out of order is ignored") {
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
  CHECK(directory.Put(Entry(0)) ==
        Change::kNone);  // Of an earlier incarnation.

  directory.Remove(kId, std::nullopt);
  CHECK(directory.Put(older) == Change::kNone);
  CHECK(directory.Put(newer) == Change::kNone);
  CHECK(directory.Find(kId) == nullptr);
  newer.m_number = 9;
  CHECK(directory.Put(newer) == Change::kAdded);
}

// Guards against a server that is never used again after a restore (CONFIG,
// DENIED): a second read took its lost registration for a removal.
TEST_CASE("A registration that was lost may come back unchanged") {
  using Absence = EndpointDirectory::Absence;
  EndpointDirectory directory;
  directory.Put(Entry());
  directory.RetainOnly({}, kKeepUntil, Absence::kHistoryLost);
  directory.RetainOnly({}, kKeepUntil, Absence::kRemoved);
  REQUIRE(directory.DropLapsed(kKeepUntil).size() == 1);
  CHECK(directory.Put(Entry()) == Change::kAdded);
  directory.RetainOnly({}, kKeepUntil, Absence::kRemoved);
  REQUIRE(directory.DropLapsed(kKeepUntil).size() == 1);
  CHECK(directory.Put(Entry()) == Change::kNone);
}

// A server that announces in its answers that it is leaving may never register
// as draining, and may renew its registration as ready in the meantime.
TEST_CASE("Later registrations do not undo an announced departure") {
  EndpointDirectory directory;
  auto entry = Entry(1);
  entry.m_number = 1;
  directory.Put(entry);
  CHECK(directory.MarkLeaving(kId, 1));
  CHECK_FALSE(directory.MarkLeaving(kId, 1));
  CHECK_FALSE(directory.Find(kId)->AcceptsRequests());
  entry.m_number = 2;
  directory.Put(entry);
  CHECK_FALSE(directory.Find(kId)->AcceptsRequests());
  SECTION("its removal is not handled as a lapse") {
    CHECK(directory.Remove(kId, kKeepUntil) == Change::kRemoved);
    entry.m_number = 3;
    directory.Put(entry);
    CHECK_FALSE(directory.Find(kId)->AcceptsRequests());
  }
  SECTION("a restart under the same id accepts requests") {
    directory.Put(Entry(2));
    CHECK(directory.Find(kId)->AcceptsRequests());
    // A late announcement of the previous incarnation is ignored.
    CHECK_FALSE(directory.MarkLeaving(kId, 1));
    CHECK(directory.Find(kId)->AcceptsRequests());
  }
  SECTION("the announcement may arrive before the registration") {
    directory.MarkLeaving(EndpointId("later"), 4);
    auto late = Entry(4);
    late.m_id = EndpointId("later");
    directory.Put(late);
    CHECK_FALSE(directory.Find(late.m_id)->AcceptsRequests());
  }
}

TEST_CASE("The indices match the entries after every change") {
  CHECK(rc::check([] {
    EndpointDirectory directory;
    std::int64_t number = 0;
    for (int step = 0; step < 60; ++step) {
      const EndpointId id("e" + std::to_string(*rc::gen::inRange(0, 4)));
      if (*rc::gen::inRange(0, 3) == 0) {
        directory.Remove(id, *rc::gen::arbitrary<bool>()
                                 ? std::optional(kKeepUntil)
                                 : std::nullopt);
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
        std::set<EndpointId> with_model;
        std::set<EndpointId> of_service;
        for (const auto& [known, entry] : directory.entries()) {
          if (entry.m_models.contains(model)) {
            with_model.insert(known);
          }
          if (entry.m_service == service) {
            of_service.insert(known);
          }
        }
        RC_ASSERT(directory.EndpointsWithModel(model) == with_model);
        RC_ASSERT(directory.EndpointsOf(service) == of_service);
      }
    }
  }));
}
