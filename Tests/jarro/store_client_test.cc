#include "platform/store_client.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hickoryloft;
using namespace hickoryloft::jarro;

namespace {

// Keeps the calls; the test answers them.
class ManualClient : public endpoint::HttpClient {
 public:
  class NoCall : public endpoint::Call {
    void Pause() override {}
    void Resume() override {}
  };

  std::unique_ptr<endpoint::Call> Start(endpoint::CallRequest request,
                                        endpoint::CallEvents events) override {
    m_targets.push_back(request.m_target);
    m_bodies.push_back(request.m_body);
    m_events.push_back(std::move(events));
    return std::make_unique<NoCall>();
  }

  std::vector<std::string> m_targets;
  std::vector<std::string> m_bodies;
  std::vector<endpoint::CallEvents> m_events;
};

// A store whose answers the test gives, each in an era.
struct AnsweredStore {
  AnsweredStore() {
    m_store.SetRestoredHandler([this](Era) { ++m_restores; });
  }

  // Answers the oldest open call. `era`: the header field; empty: none.
  void Answer(const std::string& era, int status, const nlohmann::json& body) {
    RunFor(milliseconds(5));
    REQUIRE(m_answered < m_client.m_events.size());
    const auto events = m_client.m_events[m_answered++];
    endpoint::AnswerHead head{.m_status = status};
    if (!era.empty()) {
      head.m_headers.push_back({"Store-Era", era});
    }
    events.m_head(head);
    events.m_bytes(body.dump());
    events.m_done();
    RunFor(milliseconds(5));
  }
  void RunFor(Duration time) {
    const auto end = m_loop.After(time, [this] { m_loop.Stop(); });
    m_loop.Run();
  }
  static nlohmann::json Page(int as_of, bool more = false) {
    return {{"items",
             {{{"key", "k" + std::to_string(as_of)},
               {"value", ""},
               {"revision", 3},
               {"created", 2},
               {"lease", 9}}}},
            {"hasMore", more},
            {"asOf", as_of}};
  }
  // Reads all keys, answered in `era`; the last result is kept.
  void Read(const std::string& era, int as_of) {
    StartRead();
    Answer(era, 200, Page(as_of));
  }
  void StartRead() {
    m_store.GetPrefix("", [this](const Result<keyvalue::ReadReply>& reply) {
      m_read = reply;
    });
  }
  ErrorCode ReadError() const { return m_read->error().code(); }

  EventLoop m_loop;
  ManualClient m_client;
  StoreClient m_store{m_loop, m_client, {}};
  std::size_t m_answered = 0;
  int m_restores = 0;
  std::optional<Result<keyvalue::ReadReply>> m_read;
};

}  // namespace

// Guards against hosts that take lower revisions after a restore for old news
// (CONFIG on the grown sites).
TEST_CASE("Revisions after a restore are greater than all before it") {
  AnsweredStore store;
  store.Read("4", 90);
  const Revision before = store.m_read->value().m_revision;
  CHECK(store.m_restores == 0);
  store.Read("5", 40);
  CHECK(store.m_restores == 1);
  CHECK(store.m_read->value().m_revision > before);
  CHECK(NumberIn(store.m_read->value().m_revision) == 40);
  CHECK(EraOf(store.m_read->value().m_items.front().m_mod_revision) == 5);
}

TEST_CASE("A store without the header keeps its revisions") {
  AnsweredStore store;
  store.Read("", 90);
  CHECK(store.m_read->value().m_revision == 90);
  CHECK(store.m_read->value().m_items.front().m_lease == 9);
}

TEST_CASE("An answer from before a restore that was seen is a failure") {
  AnsweredStore store;
  store.Read("5", 40);
  store.Read("4", 90);
  CHECK(store.ReadError() == ErrorCode::kOutcomeUnknown);
  CHECK(store.m_restores == 0);
}

TEST_CASE("Pages of two eras make no read") {
  AnsweredStore store;
  store.StartRead();
  store.Answer("4", 200, AnsweredStore::Page(90, /*more=*/true));
  store.Answer("5", 200, AnsweredStore::Page(40));
  CHECK(store.ReadError() == ErrorCode::kUnavailable);
}

TEST_CASE("A header that is no whole number is named in the error") {
  for (const std::string era :
       {"x", "-1", "5 ", "8192", "99999999999999999999"}) {
    CAPTURE(era);
    AnsweredStore store;
    store.Read(era, 90);
    CHECK(store.ReadError() == ErrorCode::kProtocol);
    CHECK(std::string(store.m_read->error().what()).find("Store-Era") !=
          std::string::npos);
  }
}

TEST_CASE("A lease may have any number that JSON holds exactly") {
  AnsweredStore store;
  const std::int64_t number = (std::int64_t{1} << 53) - 1;
  keyvalue::LeaseId lease = 0;
  for (const Era era : {0, 1, 1023, 1024, 8000}) {
    store.m_store.GrantLease(
        seconds(1), [&](const Result<keyvalue::LeaseReply>& reply) {
          REQUIRE(reply.ok());
          CHECK(reply.value().m_lease !=
                std::exchange(lease, reply.value().m_lease));
        });
    store.Answer(std::to_string(era), 200,
                 {{"lease", number}, {"ttlMs", 1000}});
    CHECK(LeaseNumber(lease) == number);
    CHECK(IsLeaseOf(era, lease));
    CHECK_FALSE(IsLeaseOf(era + 1, lease));
  }
}

// Guards against the renewal and the end of another host's lease, which got the
// id of a lease that the store had lost.
TEST_CASE("A lease of before a restore counts as ended") {
  AnsweredStore store;
  store.Read("4", 90);
  const keyvalue::LeaseId lease = LeaseInEra(4, 9);
  std::vector<ErrorCode> failures;
  const auto renew = [&] {
    store.m_store.KeepAlive(
        lease, [&](const Result<keyvalue::LeaseReply>& reply) {
          failures.push_back(reply.ok() ? ErrorCode::kIo
                                        : reply.error().code());
        });
  };
  renew();
  CHECK(store.m_client.m_targets.back() == "/-/kv-keep/9");
  store.Answer("5", 200, {{"ttlMs", 1000}});  // Renewed another host's lease.
  const std::size_t calls = store.m_client.m_targets.size();
  renew();
  store.m_store.RevokeLease(lease, [&](const Result<Done>& reply) {
    failures.push_back(reply.ok() ? ErrorCode::kIo : reply.error().code());
  });
  store.m_store.Swap(
      {.m_key = "k", .m_value = "v", .m_lease = lease},
      [&](const Result<keyvalue::SwapReply>& reply) {
        failures.push_back(reply.ok() ? ErrorCode::kIo : reply.error().code());
      });
  store.RunFor(milliseconds(5));
  CHECK(failures == std::vector(4, ErrorCode::kNotFound));
  CHECK(store.m_client.m_targets.size() == calls);
}

TEST_CASE("A write that a restore overtakes has an unknown outcome") {
  AnsweredStore store;
  store.Read("4", 90);
  std::optional<ErrorCode> failure;
  store.m_store.Swap(
      {.m_key = "k", .m_expected_revision = InEra(4, 3), .m_value = "v"},
      [&](const Result<keyvalue::SwapReply>& reply) {
        failure = reply.ok() ? ErrorCode::kIo : reply.error().code();
      });
  CHECK(store.m_client.m_bodies.back().find("\"revision\":3") !=
        std::string::npos);
  store.Answer("5", 200, {{"revision", 41}});
  CHECK(failure == ErrorCode::kOutcomeUnknown);
}
