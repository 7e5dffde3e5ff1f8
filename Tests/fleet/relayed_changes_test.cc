// Hosts that receive changes through another host, compared with a model of the
// service's history. Spans and proofs are lost, delayed, repeated or truncated;
// a host must never report a revision whose changes it is missing.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>

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

// A key-value service that keeps its history and delivers changes on request.
class Service : public keyvalue::KeyValueService {
 public:
  class ManualWatch : public keyvalue::Watch {
   public:
    explicit ManualWatch(Service& service) : m_service(service) {}
    void Pause(Revision /*known*/) override { m_service.m_paused = true; }
    void Resume(Revision /*known*/) override { m_service.m_paused = false; }

   private:
    Service& m_service;
  };

  void Put(const std::string& key, const std::string& value) {
    m_history.push_back(
        {.m_item = {
             .m_key = key, .m_value = value, .m_mod_revision = ++m_revision}});
  }
  keyvalue::WatchBatch After(Revision known, MonotonicTime as_of) const {
    keyvalue::WatchBatch batch{.m_revision = m_revision,
                               .m_current_as_of = as_of};
    for (const keyvalue::WatchEvent& event : m_history) {
      if (event.m_item.m_mod_revision > known) {
        batch.m_events.push_back(event);
      }
    }
    return batch;
  }
  std::map<std::string, std::string> StateAt(Revision revision) const {
    std::map<std::string, std::string> state;
    for (const keyvalue::WatchEvent& event : m_history) {
      if (event.m_item.m_mod_revision <= revision &&
          event.m_item.m_key != "config") {
        state[event.m_item.m_key] = event.m_item.m_value;
      }
    }
    return state;
  }

  void Get(const std::string&, Callback<keyvalue::ReadReply>) override {}
  void GetPrefix(const std::string&,
                 Callback<keyvalue::ReadReply> callback) override {
    keyvalue::ReadReply reply{.m_revision = m_revision,
                              .m_current_as_of = MonotonicClock::now()};
    for (const keyvalue::WatchEvent& event : m_history) {
      std::erase_if(reply.m_items, [&](const keyvalue::KeyValue& item) {
        return item.m_key == event.m_item.m_key;
      });
      reply.m_items.push_back(event.m_item);
    }
    callback(std::move(reply));
  }
  void Swap(keyvalue::CompareAndSwap, Callback<keyvalue::SwapReply>) override {}
  void GrantLease(Duration, Callback<keyvalue::LeaseReply>) override {}
  void KeepAlive(keyvalue::LeaseId, Callback<keyvalue::LeaseReply>) override {}
  void RevokeLease(keyvalue::LeaseId, Callback<Done>) override {}
  std::unique_ptr<keyvalue::Watch> WatchPrefix(
      const std::string&,
      Revision,
      std::function<void(keyvalue::WatchBatch)> changed,
      std::function<void(Error)>) override {
    m_changed = std::move(changed);
    return std::make_unique<ManualWatch>(*this);
  }

  std::vector<keyvalue::WatchEvent> m_history;
  Revision m_revision = 0;
  std::function<void(keyvalue::WatchBatch)> m_changed;
  bool m_paused = false;
};

// A host with its change log and its own copy of the service's history.
struct Host {
  explicit Host(Service& history) {
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
  Service m_service;
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
    Service truth;
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
  Service truth;
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
  Service truth;
  truth.Put("config", "1");
  Host leaf(truth);
  leaf.m_feed.ApplyProof(truth.m_revision, leaf.m_loop.Now());
  REQUIRE(leaf.m_service.m_paused);
  leaf.m_feed.ApplyChanges({.m_from = truth.m_revision,
                            .m_to = truth.m_revision,
                            .m_read_from_service = true});
  CHECK_FALSE(leaf.m_service.m_paused);
}
