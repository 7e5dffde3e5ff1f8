// Registrations and the placement lease, while the store comes back from an
// older copy and gives its lease ids out again.

#include <catch2/catch.hpp>

#include "Tests/membership/restorable_store.h"
#include "membership/placement_lease.h"
#include "membership/registration.h"

using namespace hickoryloft;
using namespace hickoryloft::membership;

namespace {

constexpr PlacementLeaseTiming kTiming{.m_ttl = milliseconds(800),
                                       .m_margin = milliseconds(100),
                                       .m_gap = milliseconds(100)};
// No renewal is due within a test, so that only a restore can cause calls.
constexpr Duration kLongTtl = seconds(60);

// Enough for a few calls; less than the interval of renewals.
constexpr Duration kAWhile = milliseconds(60);

void RunFor(EventLoop& loop, Duration time) {
  const auto end = loop.After(time, [&] { loop.Stop(); });
  loop.Run();
}

// A host that confirms its leases as soon as it notices a restore.
struct Host {
  Host(EventLoop& loop, RestorableStore& store, const std::string& name)
      : m_session(loop, store),
        m_lease(loop, m_session, "holder", HostId(name), kTiming),
        m_registration(loop, m_session, "host/" + name, name, kLongTtl) {
    m_session.SetRestoredHandler([this](Era era) {
      m_registration.ConfirmNow();
      m_lease.RecordRestore(era);
      m_lease.ConfirmNow();
    });
  }

  StoreSession m_session;
  PlacementLease m_lease;
  Registration m_registration;
};

struct Fleet {
  void Run(Duration time) { RunFor(m_loop, time); }
  void Acquire(Host& host) {
    host.m_lease.Observe(false, Duration{});
    Run(kAWhile);
    REQUIRE(host.m_lease.held());
  }
  void Register(Host& host) {
    host.m_registration.Start();
    Run(kAWhile);
    REQUIRE(m_store.Has("host/a"));
  }
  std::int64_t LeaseOf(const std::string& key) const {
    return m_store.At(key).m_lease;
  }
  bool HasLease(std::int64_t lease) const {
    return m_store.m_data.m_leases.contains(lease);
  }

  EventLoop m_loop;
  RestorableStore m_store;
  Host m_a{m_loop, m_store, "a"};
  Host m_b{m_loop, m_store, "b"};
};

}  // namespace

// Guards against five seconds without orders after each restore.
TEST_CASE("A placement lease that survived a restore is kept, same fence") {
  Fleet fleet;
  fleet.Acquire(fleet.m_a);
  const FencingNumber fence = fleet.m_a.m_lease.fence();
  fleet.m_store.KeepCopy();
  fleet.m_store.Write("lost", "x");
  fleet.m_store.Restore();
  SECTION("noticed by another call") {
    fleet.m_a.m_session.Hear();
  }
  SECTION("noticed by a renewal") {}
  SECTION("noticed by two renewals in flight") {
    fleet.m_a.m_lease.ConfirmNow();
    fleet.m_a.m_lease.ConfirmNow();
  }
  fleet.Run(kTiming.m_ttl / 2);
  CHECK(fleet.m_a.m_lease.valid());
  CHECK(fleet.m_a.m_lease.fence() == fence);
  REQUIRE(fleet.m_store.Has("holder"));
  CHECK(fleet.HasLease(fleet.LeaseOf("holder")));
  SECTION("and a second restore") {
    fleet.m_store.KeepCopy();
    fleet.m_store.Restore();
  }
  // Its renewals reach the lease in the new era.
  fleet.Run(kTiming.m_ttl + kAWhile);
  CHECK(fleet.m_a.m_lease.valid());
  CHECK(fleet.m_a.m_lease.fence() == fence);
  fleet.m_a.m_lease.End();
  fleet.Run(kAWhile);
  CHECK_FALSE(fleet.m_store.Has("holder"));
}

// Guards against two placement leaders, and the end of another host's lease.
TEST_CASE("A placement lease that was lost is given up, and not revoked") {
  Fleet fleet;
  fleet.m_store.Write("config", "1");
  fleet.m_store.KeepCopy();
  fleet.Acquire(fleet.m_a);
  const FencingNumber fence = fleet.m_a.m_lease.fence();
  const std::int64_t id = fleet.LeaseOf("holder");
  fleet.m_store.Restore();
  fleet.m_b.m_session.Hear();
  SECTION("noticed before another host has the id") {
    fleet.m_a.m_session.Hear();
    fleet.Run(kAWhile);
    CHECK_FALSE(fleet.m_a.m_lease.held());
    fleet.Acquire(fleet.m_b);
  }
  SECTION("noticed after another host has the id") {
    fleet.m_b.m_lease.Observe(false, Duration{});
    fleet.Run(kAWhile);
  }
  REQUIRE(fleet.LeaseOf("holder") == id);
  fleet.Run(kTiming.m_ttl / 2);
  CHECK_FALSE(fleet.m_a.m_lease.held());
  fleet.Run(kTiming.m_ttl / 2 + kTiming.m_gap);
  CHECK(fleet.m_b.m_lease.valid());
  CHECK(fleet.m_b.m_lease.fence() > fence);
  CHECK(fleet.m_store.At("holder").m_value == "b");
  CHECK(fleet.HasLease(id));
}

// Guards against the loss of the placement leader when another host stops.
// Guards against orders of two leaders less than the gap apart: a restore ends
// the lease of a leader that is cut off and goes on until it would expire.
TEST_CASE("The successor of a leader that a restore has ended waits for it") {
  Fleet fleet;
  fleet.m_store.Write("config", "1");
  fleet.m_store.KeepCopy();
  fleet.Acquire(fleet.m_a);
  fleet.m_b.m_session.Hear();
  fleet.Run(kTiming.m_gap);
  REQUIRE(fleet.m_a.m_lease.valid());
  fleet.m_a.m_session.m_cut = true;
  fleet.m_store.Restore();
  SECTION("which hears of the restore first") {
    fleet.m_b.m_session.Hear();
  }
  SECTION("which hears of the restore as it takes the lease") {}
  MonotonicTime last_of_a;
  MonotonicTime first_of_b;
  const auto tick = fleet.m_loop.Every(milliseconds(2), [&] {
    fleet.m_b.m_lease.Observe(fleet.m_store.Has("holder"), Duration{});
    if (fleet.m_a.m_lease.valid()) {
      last_of_a = fleet.m_loop.Now();
    }
    if (fleet.m_b.m_lease.valid() && first_of_b == MonotonicTime{}) {
      first_of_b = fleet.m_loop.Now();
    }
  });
  fleet.Run(2 * kTiming.m_ttl);
  REQUIRE(first_of_b != MonotonicTime{});
  CHECK(first_of_b - last_of_a >= kTiming.m_gap);
}

// Guards against a leader that goes on without knowing whether a restore has
// ended its lease: other hosts may tell it of the restore.
TEST_CASE("A leader that cannot confirm its lease after a restore stops") {
  Fleet fleet;
  fleet.Acquire(fleet.m_a);
  fleet.Run(kTiming.m_gap);
  const FencingNumber fence = fleet.m_a.m_lease.fence();
  fleet.m_store.KeepCopy();
  fleet.m_store.Restore();
  fleet.m_a.m_session.m_cut = true;
  REQUIRE(fleet.m_a.m_lease.valid());
  fleet.m_a.m_lease.RecordRestore(fleet.m_store.m_era);
  CHECK_FALSE(fleet.m_a.m_lease.valid());
  fleet.m_a.m_session.m_cut = false;
  fleet.Run(kTiming.m_ttl / 2);
  CHECK(fleet.m_a.m_lease.valid());
  CHECK(fleet.m_a.m_lease.fence() == fence);
}

// Guards against longer pauses without orders than the leases ask for.
TEST_CASE("A leader that takes its lost lease again waits for the gap only") {
  Fleet fleet;
  fleet.m_store.Write("config", "1");
  fleet.m_store.KeepCopy();
  fleet.Acquire(fleet.m_a);
  fleet.m_store.Restore();
  fleet.m_a.m_session.Hear();
  fleet.Run(kAWhile);
  REQUIRE_FALSE(fleet.m_a.m_lease.held());
  fleet.Acquire(fleet.m_a);
  fleet.Run(kTiming.m_gap);
  CHECK(fleet.m_a.m_lease.valid());
}

TEST_CASE("A stopping host does not end the placement lease of another") {
  Fleet fleet;
  fleet.m_store.KeepCopy();
  fleet.Acquire(fleet.m_a);
  fleet.m_store.Restore();
  fleet.Acquire(fleet.m_b);
  SECTION("which has noticed the restore") {
    fleet.m_a.m_session.Hear();
  }
  fleet.m_a.m_lease.End();
  fleet.Run(kAWhile);
  CHECK(fleet.m_b.m_lease.held());
  REQUIRE(fleet.m_store.Has("holder"));
  CHECK(fleet.HasLease(fleet.LeaseOf("holder")));
}

// Guards against a host that is out of the fleet until its renewal is due.
TEST_CASE("A registration that was lost is written again at once") {
  Fleet fleet;
  fleet.m_store.KeepCopy();
  fleet.Register(fleet.m_a);
  fleet.m_store.Restore();
  fleet.m_a.m_session.Hear();
  fleet.Run(kAWhile);
  REQUIRE(fleet.m_store.Has("host/a"));
  CHECK(fleet.m_store.At("host/a").m_value == "a");
  CHECK(fleet.HasLease(fleet.LeaseOf("host/a")));
}

// Guards against a host that is out of the fleet once its old lease ends.
TEST_CASE("A registration that survived a restore gets the new lease at once") {
  Fleet fleet;
  fleet.Register(fleet.m_a);
  const std::int64_t old_lease = fleet.LeaseOf("host/a");
  fleet.m_store.KeepCopy();
  fleet.m_store.Restore();
  fleet.m_a.m_session.Hear();
  fleet.Run(kAWhile);
  REQUIRE(fleet.m_store.Has("host/a"));
  CHECK(fleet.LeaseOf("host/a") != old_lease);
  CHECK(fleet.HasLease(fleet.LeaseOf("host/a")));
  fleet.m_store.EndLease(old_lease);
  REQUIRE(fleet.m_store.Has("host/a"));
  bool ended = false;
  fleet.m_a.m_registration.End([&] { ended = true; });
  fleet.Run(kAWhile);
  CHECK(ended);
  CHECK_FALSE(fleet.m_store.Has("host/a"));
}

// Guards against the loss of a host's registration when another host stops.
TEST_CASE("A stopping host does not end the registration of another") {
  Fleet fleet;
  fleet.m_store.KeepCopy();
  fleet.Register(fleet.m_a);
  fleet.m_store.Restore();
  fleet.m_b.m_registration.Start();
  fleet.Run(kAWhile);
  REQUIRE(fleet.m_store.Has("host/b"));
  SECTION("which has noticed the restore") {
    fleet.m_a.m_session.Hear();
  }
  bool ended = false;
  fleet.m_a.m_registration.End([&] { ended = true; });
  fleet.Run(kAWhile);
  CHECK(ended);
  CHECK(fleet.m_store.Has("host/b"));
}
