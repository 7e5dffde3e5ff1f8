// Hosts that receive changes through another host, while the service comes back
// from older copies of its data. Guards against the CONFIG incident: a host
// whose revision is of the lost time takes itself for current.

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "Tests/fleet/relayed_host.h"

using namespace hickoryloft;
using namespace hickoryloft::fleet;

namespace {

// The full range in every case; RapidCheck's early cases have a small one.
template <typename T>
T Pick(T from, T end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(from, end));
}

bool Chance() {
  return Pick(0, 2) == 1;
}

// A host's watch calls, one at a time. An answer may arrive later.
class Watcher {
 public:
  Watcher(Host& host, const ManualKeyValueService& truth)
      : m_host(host), m_truth(truth) {}

  void Call(MonotonicTime now) {
    m_answer = m_truth.After(m_host.m_feed.revision(), now);
    m_watch = m_host.m_service.m_watches;
  }
  void Deliver() {
    const auto answer = std::exchange(m_answer, std::nullopt);
    if (!answer || m_watch != m_host.m_service.m_watches ||
        m_host.m_service.m_held_read) {
      return;  // The watch has ended.
    }
    if (EraOf(answer->m_revision) > EraOf(m_host.m_feed.revision())) {
      m_host.m_service.m_ended(Error(ErrorCode::kNotFound, "restored"));
      m_host.m_feed.ObserveEra(EraOf(answer->m_revision));
      return;
    }
    m_host.m_service.m_changed(*answer);
  }

 private:
  Host& m_host;
  const ManualKeyValueService& m_truth;
  std::optional<keyvalue::WatchBatch> m_answer;
  int m_watch = 0;
};

// The service, two hosts and the messages between them, all of which may arrive
// late and more than once.
struct Fleet {
  void Write(int step) {
    const std::string key = "k" + std::to_string(Pick(0, 5));
    if (Pick(0, 4) == 0) {
      m_truth.Delete(key);
    } else {
      m_truth.Put(key, std::to_string(step));
    }
  }
  void Restore() {
    const std::size_t written = m_truth.m_history.size();
    if (written > 2) {
      m_truth.Restore(
          Pick<std::size_t>(1, std::min<std::size_t>(written - 1, 6)));
    }
  }
  void SendSpan(Revision known) {
    if (const auto span = m_relay.m_log.Since(known)) {
      m_spans.push_back(*span);
    }
  }
  void SendReports() {
    m_proofs.push_back(
        {m_relay.m_feed.revision(), m_relay.m_feed.current_as_of()});
    m_leaf_revisions.push_back(m_leaf.m_feed.revision());
  }
  // Applies a report as HandleFleetReport does.
  void DeliverProof(const Proof& proof) {
    m_leaf.m_feed.ObserveEra(EraOf(proof.m_revision));
    m_leaf.m_feed.ApplyProof(proof.m_revision, proof.m_as_of);
  }
  void DeliverAll() {
    for (const ChangeSpan& span : m_spans) {
      m_leaf.m_feed.ApplyChanges(span);
    }
    for (const Proof& proof : m_proofs) {
      DeliverProof(proof);
    }
    for (const Revision revision : m_leaf_revisions) {
      m_relay.m_feed.ObserveEra(EraOf(revision));
    }
    m_leaf.m_service.DeliverHeldRead();
    m_relay.m_service.DeliverHeldRead();
  }

  ManualKeyValueService m_truth = Started();
  Host m_relay{m_truth};
  Host m_leaf{m_truth};
  Watcher m_relay_watch{m_relay, m_truth};
  Watcher m_leaf_watch{m_leaf, m_truth};
  std::vector<ChangeSpan> m_spans;
  std::vector<Proof> m_proofs;
  std::vector<Revision> m_leaf_revisions;
  // The service's revision at each time that a proof may refer to.
  std::map<MonotonicTime, Revision> m_revisions;

 private:
  static ManualKeyValueService Started() {
    ManualKeyValueService service;
    service.Put("config", "1");
    service.Put("k0", "0");
    return service;
  }
};

template <typename T>
const T& AnyOf(const std::vector<T>& messages) {
  return messages[Pick<std::size_t>(0, messages.size())];
}

// Something happens at the service or on a host's own calls.
void CallStep(Fleet& fleet, int step, MonotonicTime now) {
  Host& host = Chance() ? fleet.m_relay : fleet.m_leaf;
  Watcher& watch =
      &host == &fleet.m_relay ? fleet.m_relay_watch : fleet.m_leaf_watch;
  switch (Pick(0, 10)) {
    case 0:
    case 1:
    case 2:
      fleet.Write(step);
      break;
    case 3:
      fleet.Restore();
      break;
    case 4:
      host.m_service.m_hold_reads = Chance();
      break;
    case 5:
      host.m_service.DeliverHeldRead();
      break;
    case 6:
    case 7:
      watch.Call(now);
      break;
    default:
      watch.Deliver();
  }
}

// A message between the hosts is sent, or arrives, perhaps late or again.
void MessageStep(Fleet& fleet) {
  switch (Pick(0, 6)) {
    case 0: {
      // What the relay takes for the leaf's revision may be outdated or wrong.
      Revision known = fleet.m_leaf.m_feed.revision();
      if (!fleet.m_proofs.empty() && Chance()) {
        known = Chance() ? AnyOf(fleet.m_proofs).m_revision
                         : AnyOf(fleet.m_leaf_revisions);
      }
      fleet.SendSpan(known);
      break;
    }
    case 1:
      fleet.SendReports();
      break;
    case 2:
    case 3:
      if (!fleet.m_spans.empty()) {
        fleet.m_leaf.m_feed.ApplyChanges(AnyOf(fleet.m_spans));
      }
      break;
    case 4:
      if (!fleet.m_proofs.empty()) {
        // The feed must not rely on an observation before the proof.
        const Proof& proof = AnyOf(fleet.m_proofs);
        if (Chance()) {
          fleet.m_leaf.m_feed.ObserveEra(EraOf(proof.m_revision));
        }
        fleet.m_leaf.m_feed.ApplyProof(proof.m_revision, proof.m_as_of);
      }
      break;
    default:
      if (!fleet.m_leaf_revisions.empty()) {
        fleet.m_relay.m_feed.ObserveEra(EraOf(AnyOf(fleet.m_leaf_revisions)));
      }
  }
}

// The host's state is the service's at its revision, and no change before the
// time that it claims is missing.
void CheckClaim(const Fleet& fleet, const Host& host) {
  RC_ASSERT(host.State() == fleet.m_truth.StateAt(host.m_feed.revision()));
  const auto claimed =
      fleet.m_revisions.upper_bound(host.m_feed.current_as_of());
  if (claimed == fleet.m_revisions.begin()) {
    return;
  }
  const Revision due = std::prev(claimed)->second;
  const Revision known = host.m_feed.revision();
  RC_ASSERT(EraOf(known) >= EraOf(due));
  RC_ASSERT(EraOf(known) > EraOf(due) || NumberIn(known) >= NumberIn(due));
}

// Everything arrives; `first` hears from the service, the other one from it.
void Settle(Fleet& fleet, Host& first, Watcher& watch) {
  Host& other = &first == &fleet.m_leaf ? fleet.m_relay : fleet.m_leaf;
  first.m_service.m_hold_reads = other.m_service.m_hold_reads = false;
  for (int round = 0; round < 3; ++round) {
    fleet.DeliverAll();
    watch.Call(MonotonicClock::now());
    watch.Deliver();
    fleet.SendSpan(fleet.m_leaf.m_feed.revision());
    fleet.SendReports();
  }
  fleet.DeliverAll();
}

}  // namespace

// Guards against CONFIG: a host believes itself current and lacks a change that
// is in force, since a revision of the lost time is at or above the new one.
TEST_CASE("A host lacks no change before its claim over restores") {
  CHECK(rc::check([] {
    Fleet fleet;
    for (int step = 0; step < 200; ++step) {
      const MonotonicTime now = MonotonicClock::now();
      fleet.m_revisions[now] = fleet.m_truth.m_revision;
      if (Chance()) {
        CallStep(fleet, step, now);
      } else {
        MessageStep(fleet);
      }
      CheckClaim(fleet, fleet.m_leaf);
      CheckClaim(fleet, fleet.m_relay);
    }
    RC_CLASSIFY(!fleet.m_truth.m_ended_eras.empty(), "restored");
    const bool relay_first = Chance();
    Settle(fleet, relay_first ? fleet.m_relay : fleet.m_leaf,
           relay_first ? fleet.m_relay_watch : fleet.m_leaf_watch);
    const Revision last = fleet.m_truth.m_revision;
    RC_ASSERT(EraOf(fleet.m_leaf.m_feed.revision()) == EraOf(last));
    RC_ASSERT(EraOf(fleet.m_relay.m_feed.revision()) == EraOf(last));
    Settle(fleet, fleet.m_relay, fleet.m_relay_watch);
    Settle(fleet, fleet.m_leaf, fleet.m_leaf_watch);
    RC_ASSERT(fleet.m_leaf.m_feed.revision() == last);
    RC_ASSERT(fleet.m_leaf.State() == fleet.m_truth.StateAt(last));
    CheckClaim(fleet, fleet.m_leaf);
  }));
}
