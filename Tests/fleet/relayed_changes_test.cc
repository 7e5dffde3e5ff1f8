// Hosts that receive changes through another host, compared with a model of the
// service's history. Spans and proofs are lost, delayed, repeated or truncated;
// a host must never report a revision whose changes it is missing.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>

#include "Tests/fleet/manual_key_value_service.h"
#include "fleet/fleet_state_feed.h"

using namespace hickoryloft;
using namespace hickoryloft::fleet;

namespace {

class KeysOnlyDecoder : public FleetDecoder {
 public:
  ItemClass Classify(const std::string& key) const override {
    return key == "config" ? ItemClass::kConfiguration : ItemClass::kOther;
  }
  EndpointId EndpointOf(const std::string& key) const override {
    return EndpointId(key);
  }
  Configuration DecodeConfiguration(const std::string& value) const override {
    return {.m_version = std::stoll(value)};
  }
  EndpointEntry DecodeEndpoint(const keyvalue::KeyValue& item) const override {
    return {.m_id = EndpointId(item.m_key)};
  }
};

// A host with its change log and its own copy of the service's history.
struct Host {
  explicit Host(ManualKeyValueService& history) {
    m_service.m_history = history.m_history;
    m_service.m_revision = history.m_revision;
    m_feed.Start();
  }
  std::map<std::string, std::string> State() const {
    std::map<std::string, std::string> state;
    for (const auto& [key, item] : m_feed.own_keys()) {
      state[key] = item.m_value;
    }
    return state;
  }

  EventLoop m_loop;
  ManualKeyValueService m_service;
  KeysOnlyDecoder m_decoder;
  ChangeLog m_log;
  FleetStateFeed m_feed{
      m_loop,
      m_service,
      m_decoder,
      {.m_configuration_changed = [] {},
       .m_endpoint_changed = [](const EndpointId&) {},
       .m_own_keys_changed = [] {},
       .m_batch_applied =
           [this](Revision from, const keyvalue::WatchBatch& batch) {
             m_log.Append(from, batch);
           }}};
};

struct Proof {
  Revision m_revision;
  MonotonicTime m_as_of;
};

}  // namespace

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
