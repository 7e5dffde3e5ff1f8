#include "keyvalue/etcd_client.h"

#include <catch2/catch.hpp>

#include "StandIns/platform_stand_in.h"
#include "Tests/keyvalue/test_loop.h"

using namespace hickoryloft;
using namespace hickoryloft::keyvalue;
using hickoryloft::standins::PlatformStandIn;
using nlohmann::json;
using test::Await;
using test::RunFor;
using test::RunUntil;

namespace {

struct Fixture {
  EventLoop m_loop;
  PlatformStandIn m_server{m_loop, {}};
  EtcdClient m_client = Client(m_server.port());

  EtcdClient Client(std::uint16_t port) {
    return {m_loop,
            {.m_address = "127.0.0.1",
             .m_port = port,
             .m_host = HostId("h1"),
             .m_timeout = milliseconds(300)}};
  }
  Result<SwapReply> Swap(const CompareAndSwap& operation) {
    return Await<SwapReply>(m_loop,
                            [&](auto done) { m_client.Swap(operation, done); });
  }
  Revision Put(const std::string& key, const std::string& value) {
    const Revision at = m_revisions[key];
    const auto reply =
        Swap({.m_key = key, .m_expected_revision = at, .m_value = value});
    REQUIRE(reply.value().m_swapped);
    return m_revisions[key] = reply.value().m_revision;
  }
  Result<ReadReply> Get(const std::string& key) {
    return Await<ReadReply>(m_loop,
                            [&](auto done) { m_client.Get(key, done); });
  }
  std::map<std::string, Revision> m_revisions;
};

// Records what a watch has reported.
struct Seen {
  std::vector<WatchEvent> m_events;
  std::optional<Error> m_ended;

  std::unique_ptr<Watch> Start(KeyValueService& service,
                               const std::string& prefix,
                               Revision from) {
    return service.WatchPrefix(
        prefix, from,
        [this](const WatchBatch& batch) {
          m_events.insert(m_events.end(), batch.m_events.begin(),
                          batch.m_events.end());
        },
        [this](const Error& error) { m_ended.emplace(error); });
  }
};

}  // namespace

TEST_CASE("Keys are read, swapped and deleted at the expected revision") {
  Fixture f;
  const std::string bytes("\0\xff binary", 9);
  const Revision first = f.Put("a/1", bytes);
  f.Put("a/2", "two");
  f.Put("b", "other");

  const auto read = f.Get("a/1").value();
  REQUIRE(read.m_items.size() == 1);
  CHECK(read.m_items[0].m_value == bytes);
  CHECK(read.m_items[0].m_mod_revision == first);
  CHECK(f.Get("missing").value().m_items.empty());
  const auto all = Await<ReadReply>(
      f.m_loop, [&](auto done) { f.m_client.GetPrefix("a/", done); });
  CHECK(all.value().m_items.size() == 2);
  const auto whole = Await<ReadReply>(
      f.m_loop, [&](auto done) { f.m_client.GetPrefix("", done); });
  CHECK(whole.value().m_items.size() == 3);

  const auto stale =
      f.Swap({.m_key = "a/1", .m_expected_revision = 99, .m_value = "no"});
  CHECK_FALSE(stale.value().m_swapped);
  CHECK(stale.value().m_current->m_value == bytes);
  const auto gone = f.Swap({.m_key = "a/1", .m_expected_revision = first});
  CHECK(gone.value().m_swapped);
  CHECK(f.Get("a/1").value().m_items.empty());
}

TEST_CASE("A lapsed lease deletes its keys and is then not found") {
  Fixture f;
  const auto lease = Await<LeaseReply>(f.m_loop, [&](auto done) {
                       f.m_client.GrantLease(milliseconds(300), done);
                     }).value();
  CHECK(lease.m_ttl == seconds(1));
  CHECK(f.Swap({.m_key = "k", .m_value = "v", .m_lease = lease.m_lease})
            .value()
            .m_swapped);
  RunFor(f.m_loop, milliseconds(600));
  const auto keep = [&] {
    return Await<LeaseReply>(f.m_loop, [&](auto done) {
      f.m_client.KeepAlive(lease.m_lease, done);
    });
  };
  CHECK(keep().value().m_ttl == seconds(1));
  RunFor(f.m_loop, milliseconds(600));
  CHECK(f.Get("k").value().m_items.size() == 1);
  RunFor(f.m_loop, milliseconds(600));
  CHECK(f.Get("k").value().m_items.empty());
  CHECK(keep().error().code() == ErrorCode::kNotFound);
  const auto late =
      f.Swap({.m_key = "k", .m_value = "v", .m_lease = lease.m_lease});
  CHECK(late.error().code() == ErrorCode::kNotFound);
  const auto revoke = Await<Done>(f.m_loop, [&](auto done) {
    f.m_client.RevokeLease(lease.m_lease, done);
  });
  CHECK(revoke.error().code() == ErrorCode::kNotFound);
}

TEST_CASE("A lost reply gives an unknown outcome, though the write is made") {
  Fixture f;
  f.m_server.SetFaults({{"drop_replies", 1}});
  const auto lost = f.Swap({.m_key = "k", .m_value = "v"});
  CHECK(lost.error().code() == ErrorCode::kOutcomeUnknown);
  CHECK(f.Get("k").value().m_items.at(0).m_value == "v");
}

TEST_CASE("A late reply is a timeout, and later calls work") {
  Fixture f;
  f.m_server.SetFaults({{"delay_ms", 400}});
  CHECK(f.Swap({.m_key = "k", .m_value = "v"}).error().code() ==
        ErrorCode::kTimedOut);
  f.m_server.SetFaults({{"delay_ms", 0}});
  CHECK(f.Get("other").ok());
}

TEST_CASE("Calls fail during an outage and work after it") {
  Fixture f;
  f.Put("k", "v");
  f.m_server.SetFaults({{"outage", "close"}});
  CHECK(f.Get("k").error().code() == ErrorCode::kOutcomeUnknown);
  f.m_server.SetFaults({{"outage", "hang"}});
  CHECK(f.Get("k").error().code() == ErrorCode::kTimedOut);
  f.m_server.SetFaults({{"outage", false}});
  CHECK(f.Get("k").ok());
}

TEST_CASE("A server that cannot be reached is unavailable") {
  Fixture f;
  std::uint16_t port = 0;
  {
    const PlatformStandIn closed(f.m_loop, {});
    port = closed.port();
  }
  EtcdClient client = f.Client(port);
  const auto reply =
      Await<ReadReply>(f.m_loop, [&](auto done) { client.Get("k", done); });
  CHECK(reply.error().code() == ErrorCode::kUnavailable);
}

TEST_CASE("A disconnected host gets no answer while others do") {
  Fixture f;
  f.m_server.SetFaults({{"cut_hosts", {"h1"}}});
  CHECK(f.Get("k").error().code() == ErrorCode::kTimedOut);
  f.m_server.SetFaults({{"cut_hosts", {"h2"}}});
  CHECK(f.Get("k").ok());
  CHECK(f.m_server.Record()["calls_by_host"]["h1"]["get"] == 2);
}

TEST_CASE("A watch reports changes from a past revision on, then new ones") {
  Fixture f;
  const Revision first = f.Put("a/1", "one");
  f.Put("a/1", "two");
  f.Put("b", "other");
  Seen seen;
  auto watch = seen.Start(f.m_client, "a/", first);
  RunUntil(f.m_loop, [&] { return seen.m_events.size() == 1; });
  CHECK(seen.m_events[0].m_item.m_value == "two");
  f.Swap({.m_key = "a/1", .m_expected_revision = f.m_revisions["a/1"]}).value();
  RunUntil(f.m_loop, [&] { return seen.m_events.size() == 2; });
  CHECK(seen.m_events[1].m_deleted);
  CHECK(f.m_server.Record()["waiting_watches"] == 1);
  watch.reset();
  RunUntil(f.m_loop,
           [&] { return f.m_server.Record()["waiting_watches"] == 0; });
}

TEST_CASE("A watch that an outage ended is restarted without losing a change") {
  Fixture f;
  const Revision first = f.Put("a/1", "one");
  Seen seen;
  auto watch = seen.Start(f.m_client, "a/", first);
  RunUntil(f.m_loop,
           [&] { return f.m_server.Record()["waiting_watches"] == 1; });
  f.m_server.SetFaults({{"outage", "close"}});
  RunUntil(f.m_loop, [&] { return seen.m_ended.has_value(); });
  CHECK(seen.m_ended->code() == ErrorCode::kUnavailable);
  f.m_server.SetFaults({{"outage", false}});
  f.Put("a/1", "two");
  watch = seen.Start(f.m_client, "a/", first);
  RunUntil(f.m_loop, [&] { return seen.m_events.size() == 1; });
  CHECK(seen.m_events[0].m_item.m_value == "two");
}

TEST_CASE("A read finds a change whose watch event was lost") {
  Fixture f;
  Seen seen;
  const auto watch = seen.Start(f.m_client, "a/", 1);
  f.m_server.SetFaults({{"drop_watch_events", 1}, {"watch_delay_ms", 30}});
  f.Put("a/1", "lost");
  RunFor(f.m_loop, milliseconds(100));
  f.Put("a/2", "late");
  RunUntil(f.m_loop, [&] { return seen.m_events.size() == 1; });
  CHECK(seen.m_events[0].m_item.m_key == "a/2");
  CHECK(f.Get("a/1").value().m_items.size() == 1);
}

TEST_CASE("A destroyed client calls no callback") {
  Fixture f;
  bool called = false;
  {
    EtcdClient client = f.Client(f.m_server.port());
    client.Get("k", [&](const auto&) { called = true; });
    RunFor(f.m_loop, Duration::zero());
  }
  RunFor(f.m_loop, milliseconds(50));
  CHECK_FALSE(called);
}
