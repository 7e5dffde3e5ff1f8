// Hosts that receive changes through another host, compared with a model of the
// service's history. Spans and proofs are lost, delayed, repeated or truncated;
// a host must never report a revision whose changes it is missing.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>

#include "Tests/fleet/relayed_host.h"

using namespace hickoryloft;
using namespace hickoryloft::fleet;

TEST_CASE("A host never reports a revision whose changes it is missing") {
  CHECK(rc::check([] {
    ManualKeyValueService truth;
    truth.Put("config", "1");
    truth.Put("k0", "0");
    Host relay(truth);
    Host leaf(truth);
    std::vector<ChangeSpan> spans;
    std::vector<Proof> proofs;
    // The service's revision at each time that a proof may refer to.
    std::map<MonotonicTime, Revision> revisions;
    for (int step = 0; step < 50; ++step) {
      const MonotonicTime now = MonotonicClock::now();
      revisions[now] = truth.m_revision;
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
          truth.Put("k" + std::to_string(*rc::gen::inRange(0, 5)),
                    std::to_string(step));
          break;
        case 2:
          relay.m_service.m_changed(truth.After(relay.m_feed.revision(), now));
          break;
        case 3:  // The leaf's own watch; its call may have been in flight.
          leaf.m_service.m_changed(truth.After(leaf.m_feed.revision(), now));
          break;
        case 4: {
          const Revision known =
              *rc::gen::inRange<Revision>(0, leaf.m_feed.revision() + 3);
          if (const auto span = relay.m_log.Since(known)) {
            spans.push_back(*span);
          }
          break;
        }
        case 5:
          proofs.push_back(
              {relay.m_feed.revision(), relay.m_feed.current_as_of()});
          break;
        case 6:
          if (!spans.empty()) {
            leaf.m_feed.ApplyChanges(
                spans[*rc::gen::inRange<std::size_t>(0, spans.size())]);
          }
          break;
        default:
          if (!proofs.empty()) {
            const Proof proof =
                proofs[*rc::gen::inRange<std::size_t>(0, proofs.size())];
            leaf.m_feed.ApplyProof(proof.m_revision, proof.m_as_of);
          }
      }
      // The host's state equals the service's at that revision, for every key.
      RC_ASSERT(leaf.State() == truth.StateAt(leaf.m_feed.revision()));
      // No change before the proved time is missing.
      const auto proved = revisions.upper_bound(leaf.m_feed.current_as_of());
      if (proved != revisions.begin()) {
        RC_ASSERT(leaf.m_feed.revision() >= std::prev(proved)->second);
      }
    }
  }));
}

TEST_CASE("A host resumes its watch when proofs stop or are too old") {
  ManualKeyValueService truth;
  truth.Put("config", "1");
  Host leaf(truth);
  const MonotonicTime now = leaf.m_loop.Now();
  leaf.m_feed.ApplyProof(truth.m_revision, now - seconds(10));
  CHECK_FALSE(leaf.m_service.m_paused);
  leaf.m_feed.ApplyProof(truth.m_revision + 1, now);
  CHECK_FALSE(leaf.m_service.m_paused);
  leaf.m_feed.ApplyProof(truth.m_revision, now);
  CHECK(leaf.m_service.m_paused);
  const auto end =
      leaf.m_loop.After(milliseconds(1100), [&] { leaf.m_loop.Stop(); });
  leaf.m_loop.Run();
  CHECK_FALSE(leaf.m_service.m_paused);
}

TEST_CASE("A change too large to forward resumes the watch at once") {
  ManualKeyValueService truth;
  truth.Put("config", "1");
  Host leaf(truth);
  leaf.m_feed.ApplyProof(truth.m_revision, leaf.m_loop.Now());
  REQUIRE(leaf.m_service.m_paused);
  leaf.m_feed.ApplyChanges({.m_from = truth.m_revision,
                            .m_to = truth.m_revision,
                            .m_read_from_service = true});
  CHECK_FALSE(leaf.m_service.m_paused);
}
