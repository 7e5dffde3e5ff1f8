#include "membership/placement_lease.h"

#include <catch2/catch.hpp>

#include "base/history.h"
#include "keyvalue/memory_key_value_service.h"

using namespace hickoryloft;
using namespace hickoryloft::membership;

namespace {

constexpr PlacementLeaseTiming kTiming{.m_ttl = milliseconds(400),
                                       .m_margin = milliseconds(60),
                                       .m_gap = milliseconds(250)};

// Drops renewals and revocations to the service behind it while stalled, like a
// slow or unreachable store.
class StallingStore : public keyvalue::KeyValueService {
 public:
  explicit StallingStore(keyvalue::KeyValueService& store) : m_store(store) {}

  void Get(const std::string& key,
           Callback<keyvalue::ReadReply> callback) override {
    m_store.Get(key, std::move(callback));
  }
  void GetPrefix(const std::string& prefix,
                 Callback<keyvalue::ReadReply> callback) override {
    m_store.GetPrefix(prefix, std::move(callback));
  }
  void Swap(keyvalue::CompareAndSwap operation,
            Callback<keyvalue::SwapReply> callback) override {
    m_store.Swap(std::move(operation), std::move(callback));
  }
  void GrantLease(Duration ttl,
                  Callback<keyvalue::LeaseReply> callback) override {
    m_store.GrantLease(ttl, std::move(callback));
  }
  void KeepAlive(keyvalue::LeaseId lease,
                 Callback<keyvalue::LeaseReply> callback) override {
    if (!m_stalled) {
      m_store.KeepAlive(lease, std::move(callback));
    }
  }
  void RevokeLease(keyvalue::LeaseId lease, Callback<Done> callback) override {
    if (!m_stalled) {
      m_store.RevokeLease(lease, std::move(callback));
    }
  }
  std::unique_ptr<keyvalue::Watch> WatchPrefix(
      const std::string& prefix,
      Revision from_revision,
      std::function<void(keyvalue::WatchBatch)> changed,
      std::function<void(Error)> ended) override {
    return m_store.WatchPrefix(prefix, from_revision, std::move(changed),
                               std::move(ended));
  }

  bool m_stalled = false;

 private:
  keyvalue::KeyValueService& m_store;
};

void RunFor(EventLoop& loop, Duration time) {
  const auto end = loop.After(time, [&] { loop.Stop(); });
  loop.Run();
}

}  // namespace

TEST_CASE("The placement lease is valid only after the gap") {
  EventLoop loop;
  keyvalue::MemoryKeyValueService store(loop);
  PlacementLease lease(loop, store, "holder", HostId("a"), kTiming);
  lease.Observe(false, Duration{});
  RunFor(loop, milliseconds(50));
  CHECK(lease.held());
  CHECK_FALSE(lease.valid());
  RunFor(loop, kTiming.m_gap);
  CHECK(lease.valid());
}

TEST_CASE(
    "The lease is never valid at two hosts at once, and the second one waits") {
  EventLoop loop;
  keyvalue::MemoryKeyValueService store(loop);
  StallingStore stalling(store);
  PlacementLease first(loop, stalling, "holder", HostId("a"), kTiming);
  PlacementLease second(loop, store, "holder", HostId("b"), kTiming);
  first.Observe(false, Duration{});
  RunFor(loop, milliseconds(350));
  REQUIRE(first.valid());
  const FencingNumber fence = first.fence();

  stalling.m_stalled = true;
  MonotonicTime first_last_valid;
  MonotonicTime second_first_valid;
  const auto tick = loop.Every(milliseconds(2), [&] {
    second.Observe(false, Duration{});  // Tries repeatedly.
    CHECK_FALSE((first.valid() && second.valid()));
    if (first.valid()) {
      first_last_valid = loop.Now();
    }
    if (second.valid() && second_first_valid == MonotonicTime{}) {
      second_first_valid = loop.Now();
    }
  });
  RunFor(loop, milliseconds(1500));
  CHECK_FALSE(first.valid());
  REQUIRE(second.valid());
  CHECK(second.fence() > fence);
  CHECK(second_first_valid - first_last_valid >= kTiming.m_gap);
}

TEST_CASE("A stopping host releases the lease and does not acquire it again") {
  EventLoop loop;
  keyvalue::MemoryKeyValueService store(loop);
  PlacementLease lease(loop, store, "holder", HostId("a"), kTiming);
  lease.Observe(false, Duration{});
  RunFor(loop, milliseconds(50));
  lease.End();
  CHECK_FALSE(lease.held());
  lease.Observe(false, Duration{});
  RunFor(loop, milliseconds(50));
  CHECK_FALSE(lease.held());
}

namespace {

// A store that is restored while a host holds the placement lease: its copy has
// the key, as the host wrote it. The host's calls are answered at once.
class RestoredStore : public StallingStore {
 public:
  RestoredStore(EventLoop& loop, keyvalue::KeyValueService& store)
      : StallingStore(store), m_loop(loop) {}

  void Get(const std::string& key,
           Callback<keyvalue::ReadReply> callback) override {
    StallingStore::Get(
        key, [this, callback](Result<keyvalue::ReadReply> reply) {
          for (keyvalue::KeyValue& item : reply.value().m_items) {
            item.m_create_revision = InEra(m_era, item.m_create_revision);
            item.m_mod_revision = InEra(m_era, item.m_mod_revision);
            item.m_lease = LeaseInEra(m_era, item.m_lease);
          }
          callback(std::move(reply));
        });
  }
  void KeepAlive(keyvalue::LeaseId lease,
                 Callback<keyvalue::LeaseReply> callback) override {
    if (IsLeaseOf(m_era, lease)) {
      StallingStore::KeepAlive(LeaseNumber(lease), std::move(callback));
      return;
    }
    m_loop.Post([callback] {
      callback(Error(ErrorCode::kNotFound, "the lease has ended"));
    });
  }
  void RevokeLease(keyvalue::LeaseId lease, Callback<Done> callback) override {
    if (IsLeaseOf(m_era, lease)) {
      StallingStore::RevokeLease(LeaseNumber(lease), std::move(callback));
    }
  }

  Era m_era = 0;

 private:
  EventLoop& m_loop;
};

}  // namespace

// The holder's own renewal may be the call that shows the restore: its failure
// and the confirmation that follows both read the key.
TEST_CASE("A lease is kept over a restore however often it is confirmed") {
  const int confirmations = GENERATE(1, 2);
  CAPTURE(confirmations);
  EventLoop loop;
  keyvalue::MemoryKeyValueService memory(loop);
  RestoredStore store(loop, memory);
  PlacementLease lease(loop, store, "holder", HostId("a"), kTiming);
  lease.Observe(false, Duration{});
  RunFor(loop, milliseconds(50));
  REQUIRE(lease.held());
  const FencingNumber fence = lease.fence();
  store.m_era = 1;
  for (int i = 0; i < confirmations; ++i) {
    lease.ConfirmNow();
  }
  RunFor(loop, milliseconds(30));
  CHECK(lease.held());
  CHECK(lease.fence() == fence);
}
