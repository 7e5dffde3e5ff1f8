#include "keyvalue/memory_key_value_service.h"

#include <catch2/catch.hpp>

#include "Tests/keyvalue/test_loop.h"

using namespace hickoryloft;
using namespace hickoryloft::keyvalue;
using test::Await;
using test::RunFor;
using test::RunUntil;

TEST_CASE("Leases lapse by the loop's timers, and watches report it") {
  EventLoop loop;
  MemoryKeyValueService service(loop);
  std::vector<WatchEvent> events;
  const auto watch = service.WatchPrefix(
      "a", 1,
      [&](const WatchBatch& batch) {
        events.insert(events.end(), batch.m_events.begin(),
                      batch.m_events.end());
      },
      [](const Error&) { FAIL("the watch ended"); });
  const auto lease = Await<LeaseReply>(loop, [&](auto done) {
                       service.GrantLease(milliseconds(60), done);
                     }).value();
  const auto swap = Await<SwapReply>(loop, [&](auto done) {
    service.Swap({.m_key = "a", .m_value = "v", .m_lease = lease.m_lease},
                 done);
  });
  CHECK(swap.value().m_swapped);
  RunUntil(loop, [&] { return events.size() == 2; });
  CHECK_FALSE(events[0].m_deleted);
  CHECK(events[1].m_deleted);
  const auto keep = Await<LeaseReply>(
      loop, [&](auto done) { service.KeepAlive(lease.m_lease, done); });
  CHECK(keep.error().code() == ErrorCode::kNotFound);
}

TEST_CASE("Callbacks are never called from inside the call") {
  EventLoop loop;
  MemoryKeyValueService service(loop);
  bool called = false;
  service.Get("a", [&](const auto&) { called = true; });
  CHECK_FALSE(called);
  RunUntil(loop, [&] { return called; });
}

TEST_CASE("A watch may end itself, and outlive the service") {
  EventLoop loop;
  auto service = std::make_unique<MemoryKeyValueService>(loop);
  int calls = 0;
  std::unique_ptr<Watch> watch = service->WatchPrefix(
      "a", 1,
      [&](const WatchBatch&) {
        ++calls;
        watch.reset();
      },
      [](const Error&) {});
  const auto other = service->WatchPrefix(
      "a", 1, [](const auto&) {}, [](const Error&) {});
  for (const Revision expected : {0, 2}) {
    Await<SwapReply>(loop, [&](auto done) {
      service->Swap(
          {.m_key = "a", .m_expected_revision = expected, .m_value = "v"},
          done);
    }).value();
  }
  RunFor(loop, milliseconds(5));
  CHECK(calls == 1);
  service.reset();
}
