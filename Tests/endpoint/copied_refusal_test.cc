// Copies of a refusal on connections that carry the refused request again.

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <string>

#include "scripted_endpoint.h"

using namespace hickoryloft;
using namespace hickoryloft::endpoint;

namespace {

std::string Refusal(const std::string& id, const std::string& body = "") {
  return "HTTP/1.1 503 Full\r\nRequest-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace

// Regression test (REFUSED, TWICE): the copy of a refusal was taken for the
// answer to a later send of the same request, which ran.
TEST_CASE("A copied refusal does not answer a later send of its request") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  endpoint.m_copies_answers = true;
  endpoint.m_scripts = {Refusal("r1"), Success("r1", "done")};
  CHECK(Run(loop, client, endpoint, "r1").m_done);
  const Outcome second = Run(loop, client, endpoint, "r1");
  CHECK(second.m_heads == 1);
  CHECK(second.m_body == "done");
}

// Regression test (REFUSED, TWICE) over random orders of requests, refusals and
// copies of any earlier answer of the connection.
TEST_CASE("A call gets its own answer or none, whatever is written before it") {
  const bool holds = rc::check([] {
    EventLoop loop;
    ScriptedEndpoint endpoint(loop);
    PooledHttpClient client(loop);
    endpoint.m_extra_bytes = [](const std::vector<std::string>& earlier) {
      std::string extra;
      for (int copies = *rc::gen::inRange(0, 3); copies > 0 && !earlier.empty();
           --copies) {
        extra += *rc::gen::elementOf(earlier);
      }
      return extra;
    };
    const int calls = *rc::gen::inRange(1, 12);
    for (int call = 0; call < calls; ++call) {
      const std::string id = *rc::gen::element<std::string>("r1", "r2", "r3");
      // The body tells which call an answer was written for.
      const std::string body = std::to_string(call);
      const bool refuses = *rc::gen::arbitrary<bool>();
      endpoint.m_scripts = {refuses ? Refusal(id, body) : Success(id, body)};
      const Outcome outcome = Run(loop, client, endpoint, id);
      RC_ASSERT(outcome.m_done);
      RC_ASSERT(outcome.m_heads == 1);
      RC_ASSERT(outcome.m_body == body);
    }
  });
  CHECK(holds);
}

// Guards against the same (REFUSED) on a new connection.
TEST_CASE("An answer without an id proves nothing behind an extra one") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  endpoint.m_scripts = {Refusal("other") +
                        "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"};
  const Outcome outcome = Run(loop, client, endpoint, "r1");
  CHECK(outcome.m_heads == 0);
  CHECK(outcome.m_failure == ErrorCode::kProtocol);
}

// Regression test: a connection on which reading was paused when its answer
// ended was kept, and the next call on it read nothing.
TEST_CASE("A connection that was paused at the end of an answer is read on") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  endpoint.m_scripts = {Success("r1", "one"), Success("r2", "two")};
  std::unique_ptr<Call> call;
  call = client.Start({.m_endpoint = endpoint.Address(),
                       .m_target = "/",
                       .m_headers = {{"Request-Id", "r1"}},
                       .m_echo = {"Request-Id", "r1"}},
                      {.m_bytes = [&](std::string_view) { call->Pause(); },
                       .m_done = [&] { loop.Stop(); }});
  const auto limit = loop.After(kTestLimit, [&] { loop.Stop(); });
  loop.Run();
  CHECK(Run(loop, client, endpoint, "r2").m_body == "two");
  CHECK(endpoint.connections() == 1);
}

TEST_CASE("Other requests use the connection on which one was refused") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  endpoint.m_scripts = {Refusal("r1"), Success("r2", "two"),
                        Success("r1", "one"), Success("r3", "three")};
  Run(loop, client, endpoint, "r1");
  CHECK(Run(loop, client, endpoint, "r2").m_body == "two");
  CHECK(endpoint.connections() == 1);
  CHECK(Run(loop, client, endpoint, "r1").m_body == "one");
  CHECK(endpoint.connections() == 2);
  CHECK(Run(loop, client, endpoint, "r3").m_body == "three");
  CHECK(endpoint.connections() == 2);
}
