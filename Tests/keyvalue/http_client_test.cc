#include "keyvalue/http_client.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "StandIns/stand_in.h"
#include "Tests/keyvalue/test_loop.h"
#include "keyvalue/etcd_client.h"
#include "keyvalue/http_host_list.h"

using namespace hickoryloft;
using namespace hickoryloft::keyvalue;
using test::Await;
using test::RunUntil;

namespace {

// Answers every request with m_answer and m_status, or holds it if m_hold is
// set.
class CannedServer : public standins::StandIn {
 public:
  using StandIn::StandIn;
  nlohmann::json Record() const override { return {}; }

  nlohmann::json m_answer;
  int m_status = 200;
  std::vector<standins::CallPtr> m_held;
  bool m_hold = false;

 private:
  void Handle(const standins::CallPtr& call) override {
    if (m_hold) {
      m_held.push_back(call);
      return;
    }
    call->Send(m_status, m_answer);
  }
  void ApplyFaults(const nlohmann::json& /*faults*/) override {}
};

struct Fixture {
  EventLoop m_loop;
  CannedServer m_server{m_loop, {}};
};

}  // namespace

TEST_CASE("Malformed answers are protocol failures") {
  Fixture f;
  EtcdClient client(f.m_loop,
                    {.m_address = "127.0.0.1", .m_port = f.m_server.port()});
  const nlohmann::json header = {{"revision", "5"}};
  const std::vector<nlohmann::json> answers = {
      "garbage",
      nlohmann::json::object(),
      {{"header", {{"revision", "x"}}}},
      {{"header", header}, {"kvs", "none"}},
      {{"header", header}, {"kvs", {1}}},
      {{"header", header}, {"kvs", {{{"key", "?"}}}}},
      {{"header", header}, {"kvs", {{{"key", "YQ=="}, {"lease", "1x"}}}}}};
  for (const auto& answer : answers) {
    f.m_server.m_answer = answer;
    const auto reply =
        Await<ReadReply>(f.m_loop, [&](auto done) { client.Get("k", done); });
    REQUIRE_FALSE(reply.ok());
    CHECK(reply.error().code() == ErrorCode::kProtocol);
  }
  f.m_server.m_answer = {{"header", header}};
  const auto swap = Await<SwapReply>(f.m_loop, [&](auto done) {
    client.Swap({.m_key = "k", .m_value = "v"}, done);
  });
  CHECK(swap.error().code() == ErrorCode::kProtocol);
  f.m_server.m_status = 503;
  const auto busy =
      Await<ReadReply>(f.m_loop, [&](auto done) { client.Get("k", done); });
  CHECK(busy.error().code() == ErrorCode::kOutcomeUnknown);
}

TEST_CASE("A call that gets no connection fails as unavailable") {
  Fixture f;
  f.m_server.m_hold = true;
  HttpClient client(f.m_loop, {.m_address = "127.0.0.1",
                               .m_port = f.m_server.port(),
                               .m_timeout = milliseconds(100),
                               .m_max_connections = 2,
                               .m_max_queued = 5});
  constexpr std::size_t kCalls = 10;
  std::vector<ErrorCode> codes;
  for (std::size_t i = 0; i < kCalls; ++i) {
    client.Send({.m_path = "/"}, [&](const Result<HttpReply>& reply) {
      codes.push_back(reply.error().code());
    });
  }
  RunUntil(f.m_loop, [&] { return codes.size() == kCalls; });
  const auto unavailable =
      std::count(codes.begin(), codes.end(), ErrorCode::kUnavailable);
  const auto timed_out =
      std::count(codes.begin(), codes.end(), ErrorCode::kTimedOut);
  CHECK(unavailable + timed_out == kCalls);
  // Three calls found the queue full, and every call that arrived timed out.
  CHECK(unavailable >= 3);
  CHECK(timed_out >= 2);
  CHECK(f.m_server.m_held.size() <= static_cast<std::size_t>(timed_out));
}

TEST_CASE("A connection that the server closed while idle is replaced") {
  EventLoop loop;
  auto server = std::make_unique<CannedServer>(loop, standins::ListenAddress{});
  const std::uint16_t port = server->port();
  HttpClient client(loop, {.m_address = "127.0.0.1", .m_port = port});
  const auto call = [&] {
    return Await<HttpReply>(
        loop, [&](auto done) { client.Send({.m_path = "/"}, done); });
  };
  CHECK(call().ok());
  server.reset();
  test::RunFor(loop, milliseconds(20));
  CHECK(call().error().code() == ErrorCode::kUnavailable);
  server = std::make_unique<CannedServer>(
      loop, standins::ListenAddress{.m_port = port});
  CHECK(call().ok());
}

TEST_CASE("A stream without data ends after its idle timeout") {
  Fixture f;
  f.m_server.m_hold = true;
  HttpClient client(f.m_loop,
                    {.m_address = "127.0.0.1", .m_port = f.m_server.port()});
  std::optional<ErrorCode> ended;
  const auto stream = client.Stream(
      {.m_path = "/"}, milliseconds(50), [](const std::string&) {},
      [&](const Error& error) { ended = error.code(); });
  RunUntil(f.m_loop, [&] { return ended.has_value(); });
  CHECK(*ended == ErrorCode::kTimedOut);
}
