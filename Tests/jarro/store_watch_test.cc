#include "platform/store_watch.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hickoryloft;
using namespace hickoryloft::jarro;

namespace {

constexpr Duration kBatchPause = milliseconds(100);

// Keeps the calls; the test answers them.
class ManualClient : public endpoint::HttpClient {
 public:
  struct PendingCall {
    endpoint::CallRequest m_request;
    endpoint::CallEvents m_events;
  };
  class NoCall : public endpoint::Call {
    void Pause() override {}
    void Resume() override {}
  };

  std::unique_ptr<endpoint::Call> Start(endpoint::CallRequest request,
                                        endpoint::CallEvents events) override {
    m_calls.push_back({std::move(request), std::move(events)});
    return std::make_unique<NoCall>();
  }

  std::vector<PendingCall> m_calls;
};

// A watch whose calls the test answers.
struct WatchedStore {
  WatchedStore() {
    m_watch.SetBatchPause(kBatchPause);
    m_watch.SetPollWait(kPollWait);
    m_watch.Poll(1);
  }

  void Answer(int status, const nlohmann::json& body) {
    REQUIRE_FALSE(m_client.m_calls.empty());
    const auto events = m_client.m_calls.back().m_events;
    const std::string text = body.dump();
    events.m_head({.m_status = status});
    events.m_bytes(text);
    events.m_done();
    RunFor(milliseconds(5));
  }
  void AnswerWithoutChanges() {
    Answer(200, {{"asOf", 1}, {"events", nlohmann::json::array()}});
  }
  void RunFor(Duration time) {
    const auto end = m_loop.After(time, [this] { m_loop.Stop(); });
    m_loop.Run();
  }
  std::string LastTarget() const {
    return m_client.m_calls.back().m_request.m_target;
  }
  std::size_t calls() const { return m_client.m_calls.size(); }

  static constexpr Duration kPollWait = milliseconds(1500);

  EventLoop m_loop;
  ManualClient m_client;
  int m_batches = 0;
  int m_ends = 0;
  Era m_era = 0;
  StoreWatch m_watch{
      m_loop,
      m_client,
      {},
      "/watch?",
      {.m_changed = [this](const keyvalue::WatchBatch&) { ++m_batches; },
       .m_ended = [this](const Error&) { ++m_ends; },
       .m_era_of = [this](const endpoint::AnswerHead&) { return m_era; }}};
};

}  // namespace

TEST_CASE("A paused watch calls again when it is resumed, with its wait") {
  WatchedStore store;
  CHECK(store.LastTarget().ends_with("waitMs=1500"));
  store.m_watch.Pause(1);
  store.AnswerWithoutChanges();
  store.RunFor(kBatchPause * 2);
  REQUIRE(store.calls() == 1);
  store.m_watch.SetPollWait(Duration{});
  store.m_watch.Resume(1);
  REQUIRE(store.calls() == 2);
  CHECK(store.LastTarget().ends_with("waitMs=0"));
  store.m_watch.SetPollWait(WatchedStore::kPollWait);
  store.AnswerWithoutChanges();
  CHECK(store.LastTarget().ends_with("waitMs=1500"));
  CHECK(store.m_batches == 2);
}

// Guards against a host that never catches up with the store (SHORT on
// jarro-ne-large): it gave up slow answers and asked for ever more changes.
TEST_CASE("An answer that keeps arriving is read to its end") {
  WatchedStore store;
  store.m_watch.SetPollWait(milliseconds(100));
  store.AnswerWithoutChanges();
  REQUIRE(store.calls() == 2);
  const endpoint::CallEvents events = store.m_client.m_calls.back().m_events;
  events.m_head({.m_status = 200});
  const std::string body =
      nlohmann::json{{"asOf", 2}, {"events", nlohmann::json::array()}}.dump();
  for (const char byte : body.substr(0, 5)) {
    events.m_bytes(std::string_view(&byte, 1));
    store.RunFor(milliseconds(300));
  }
  REQUIRE(store.calls() == 2);
  events.m_bytes(body.substr(5));
  events.m_done();
  CHECK(store.m_batches == 2);
}

// Guards against a host that continues from a revision that was given out again
// (CONFIG on the grown sites): the store had come back from an older copy.
TEST_CASE("A watch ends when the store is restored") {
  WatchedStore store;
  store.m_era = 1;
  store.AnswerWithoutChanges();
  CHECK(store.m_ends == 1);
  CHECK(store.m_batches == 0);
}

TEST_CASE("A watch passes over an answer from before a restore") {
  WatchedStore store;
  const Revision known = InEra(2, 7);
  store.m_era = 2;
  store.m_watch.Resume(known);
  store.m_era = 1;
  store.AnswerWithoutChanges();
  CHECK(store.m_ends == 0);
  CHECK(store.m_batches == 0);
  store.RunFor(milliseconds(200));
  REQUIRE(store.calls() == 2);
  CHECK(store.LastTarget().find("after=7&") != std::string::npos);
}

TEST_CASE("An answer that does not arrive ends the call soon after its wait") {
  WatchedStore store;
  const Duration limit = store.m_client.m_calls.back().m_request.m_idle_timeout;
  CHECK(limit > WatchedStore::kPollWait);
  CHECK(limit <= WatchedStore::kPollWait + seconds(1));
}
