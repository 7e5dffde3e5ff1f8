#include "keyvalue/memory_store.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "base/error.h"

namespace hickoryloft::keyvalue {
namespace {

const std::vector<std::string> kKeys = {"a", "a/1", "a/2", "b", "b/1"};

// The reference model: the list of all changes. A key's state is its last
// change.
struct Oracle {
  struct Change {
    Revision m_revision = 0;
    std::string m_key;
    std::optional<std::string> m_value;  // Absent: deleted.
    LeaseId m_lease = 0;
  };
  struct Lease {
    int m_ttl = 0;
    int m_expires_at = 0;
    bool m_ended = false;
  };

  std::vector<Change> m_changes;
  std::vector<Lease> m_leases;  // m_leases[i] has the id i + 1.
  Revision m_revision = 1;
  int m_now = 0;

  std::optional<Change> Last(const std::string& key) const {
    const auto at =
        std::find_if(m_changes.rbegin(), m_changes.rend(),
                     [&](const Change& change) { return change.m_key == key; });
    const bool exists = at != m_changes.rend() && at->m_value;
    return exists ? std::optional(*at) : std::nullopt;
  }
  Revision ModRevision(const std::string& key) const {
    const auto last = Last(key);
    return last ? last->m_revision : 0;
  }
  bool IsLive(LeaseId lease) const {
    return lease >= 1 && lease <= static_cast<LeaseId>(m_leases.size()) &&
           !m_leases[lease - 1].m_ended;
  }
  void Record(const std::string& key,
              const std::optional<std::string>& value,
              LeaseId lease) {
    m_changes.push_back({++m_revision, key, value, lease});
  }
  void End(LeaseId lease) {
    m_leases[lease - 1].m_ended = true;
    for (const std::string& key : kKeys) {
      const auto last = Last(key);
      if (last && last->m_lease == lease) {
        Record(key, std::nullopt, 0);
      }
    }
  }
  void Advance(int ticks) {
    m_now += ticks;
    for (std::size_t i = 0; i < m_leases.size(); ++i) {
      if (!m_leases[i].m_ended && m_leases[i].m_expires_at <= m_now) {
        End(static_cast<LeaseId>(i + 1));
      }
    }
  }
};

MonotonicTime At(int ticks) {
  return MonotonicTime(seconds(ticks));
}

void CheckSame(const Oracle& oracle, const MemoryStore& store) {
  RC_ASSERT(store.revision() == oracle.m_revision);
  std::size_t count = 0;
  for (const std::string& key : kKeys) {
    const auto expected = oracle.Last(key);
    const auto actual = store.Get(key);
    RC_ASSERT(actual.has_value() == expected.has_value());
    if (expected) {
      ++count;
      RC_ASSERT(actual->m_value == *expected->m_value);
      RC_ASSERT(actual->m_mod_revision == expected->m_revision);
      RC_ASSERT(actual->m_lease == expected->m_lease);
    }
  }
  RC_ASSERT(store.GetPrefix("").size() == count);
}

using Command = rc::state::Command<Oracle, MemoryStore>;

struct Swap : public Command {
  std::string m_key = *rc::gen::elementOf(kKeys);
  bool m_revision_matches =
      *rc::gen::weightedElement<bool>({{4, true}, {1, false}});
  bool m_delete = *rc::gen::weightedElement<bool>({{1, true}, {3, false}});
  std::string m_value =
      *rc::gen::container<std::string>(2, rc::gen::inRange('a', 'e'));
  LeaseId m_lease = *rc::gen::inRange<LeaseId>(0, 5);

  bool LeaseIsUsable(const Oracle& oracle) const {
    return m_delete || m_lease == 0 || oracle.IsLive(m_lease);
  }
  void apply(Oracle& oracle) const override {
    const bool absent_delete = m_delete && !oracle.Last(m_key);
    if (m_revision_matches && LeaseIsUsable(oracle) && !absent_delete) {
      oracle.Record(m_key, m_delete ? std::nullopt : std::optional(m_value),
                    m_delete ? 0 : m_lease);
    }
  }
  void run(const Oracle& before, MemoryStore& store) const override {
    const Revision wrong = 1;  // No key ever has it.
    const CompareAndSwap operation{
        .m_key = m_key,
        .m_expected_revision =
            m_revision_matches ? before.ModRevision(m_key) : wrong,
        .m_value = m_delete ? std::nullopt : std::optional(m_value),
        .m_lease = m_lease};
    if (m_revision_matches && !LeaseIsUsable(before)) {
      RC_ASSERT_THROWS_AS(store.Swap(operation), Error);
    } else {
      const SwapReply reply = store.Swap(operation);
      RC_ASSERT(reply.m_swapped == m_revision_matches);
      const Revision current =
          reply.m_current ? reply.m_current->m_mod_revision : 0;
      RC_ASSERT(reply.m_swapped || current == before.ModRevision(m_key));
    }
    CheckSame(nextState(before), store);
  }
  void show(std::ostream& out) const override {
    out << "Swap(" << m_key << ", stands=" << m_revision_matches
        << ", delete=" << m_delete << ", lease=" << m_lease << ")";
  }
};

struct Grant : public Command {
  int m_ttl = *rc::gen::inRange(1, 6);

  void apply(Oracle& oracle) const override {
    oracle.m_leases.push_back({m_ttl, oracle.m_now + m_ttl, false});
  }
  void run(const Oracle& before, MemoryStore& store) const override {
    const LeaseReply reply = store.Grant(seconds(m_ttl), At(before.m_now));
    RC_ASSERT(reply.m_lease ==
              static_cast<LeaseId>(before.m_leases.size() + 1));
  }
  void show(std::ostream& out) const override {
    out << "Grant(" << m_ttl << ")";
  }
};

struct KeepAlive : public Command {
  LeaseId m_lease = *rc::gen::inRange<LeaseId>(1, 5);

  void apply(Oracle& oracle) const override {
    if (oracle.IsLive(m_lease)) {
      auto& lease = oracle.m_leases[m_lease - 1];
      lease.m_expires_at = oracle.m_now + lease.m_ttl;
    }
  }
  void run(const Oracle& before, MemoryStore& store) const override {
    if (before.IsLive(m_lease)) {
      store.KeepAlive(m_lease, At(before.m_now));
    } else {
      RC_ASSERT_THROWS_AS(store.KeepAlive(m_lease, At(before.m_now)), Error);
    }
    CheckSame(nextState(before), store);
  }
  void show(std::ostream& out) const override {
    out << "KeepAlive(" << m_lease << ")";
  }
};

struct Revoke : public Command {
  LeaseId m_lease = *rc::gen::inRange<LeaseId>(1, 5);

  void checkPreconditions(const Oracle& oracle) const override {
    RC_PRE(oracle.IsLive(m_lease));
  }
  void apply(Oracle& oracle) const override { oracle.End(m_lease); }
  void run(const Oracle& before, MemoryStore& store) const override {
    store.Revoke(m_lease);
    CheckSame(nextState(before), store);
  }
  void show(std::ostream& out) const override {
    out << "Revoke(" << m_lease << ")";
  }
};

struct Advance : public Command {
  int m_ticks = *rc::gen::inRange(1, 4);

  void apply(Oracle& oracle) const override { oracle.Advance(m_ticks); }
  void run(const Oracle& before, MemoryStore& store) const override {
    store.Expire(At(before.m_now + m_ticks));
    CheckSame(nextState(before), store);
  }
  void show(std::ostream& out) const override {
    out << "Advance(" << m_ticks << ")";
  }
};

struct ReadHistory : public Command {
  std::string m_prefix =
      *rc::gen::elementOf(std::vector<std::string>{"", "a", "a/", "b", "c"});
  int m_share = *rc::gen::inRange(0, 101);  // Per cent of the revisions.

  void run(const Oracle& oracle, MemoryStore& store) const override {
    const Revision from = oracle.m_revision * m_share / 100;
    std::vector<Oracle::Change> expected;
    std::copy_if(oracle.m_changes.begin(), oracle.m_changes.end(),
                 std::back_inserter(expected), [&](const auto& change) {
                   return change.m_revision > from &&
                          change.m_key.starts_with(m_prefix);
                 });
    const auto actual = store.EventsAfter(m_prefix, from);
    RC_ASSERT(actual.size() == expected.size());
    for (std::size_t i = 0; i < actual.size(); ++i) {
      RC_ASSERT(actual[i].m_item.m_mod_revision == expected[i].m_revision);
      RC_ASSERT(actual[i].m_item.m_key == expected[i].m_key);
      RC_ASSERT(actual[i].m_deleted == !expected[i].m_value.has_value());
      RC_ASSERT(actual[i].m_item.m_value == expected[i].m_value.value_or(""));
    }
  }
  void show(std::ostream& out) const override {
    out << "ReadHistory(" << m_prefix << ", " << m_share << "%)";
  }
};

TEST_CASE("The store matches the reference model") {
  CHECK(rc::check([] {
    MemoryStore store;
    rc::state::check(
        Oracle(), store,
        rc::state::gen::execOneOfWithArgs<Swap, Swap, Grant, KeepAlive, Revoke,
                                          Advance, ReadHistory>());
  }));
}

TEST_CASE("A read beyond the kept history throws instead of omitting changes") {
  CHECK(rc::check([] {
    const auto kept = *rc::gen::inRange<std::size_t>(1, 10);
    const auto writes = *rc::gen::inRange<Revision>(1, 30);
    MemoryStore store(kept);
    for (Revision i = 0; i < writes; ++i) {
      store.Put("k", "v", 0);
    }
    for (Revision from = 0; from <= store.revision(); ++from) {
      const Revision missing = store.revision() - std::max<Revision>(from, 1);
      if (from < store.history_start()) {
        RC_ASSERT_THROWS_AS(store.EventsAfter("", from), Error);
      } else {
        RC_ASSERT(store.EventsAfter("", from).size() ==
                  static_cast<std::size_t>(missing));
      }
    }
    RC_ASSERT(store.revision() - store.history_start() <=
              static_cast<Revision>(std::max<std::size_t>(kept, 1)) + 1);
  }));
}

}  // namespace
}  // namespace hickoryloft::keyvalue
