// Responses of a faulty endpoint: duplicated, malformed or belonging to another
// request.

#include <catch2/catch.hpp>
#include <string>

#include "scripted_endpoint.h"

using namespace hickoryloft;
using namespace hickoryloft::endpoint;

TEST_CASE("A duplicate response is not delivered to a later request") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  SECTION("both copies in one write") {
    endpoint.m_scripts = {Success("r1", "one") + Success("r1", "one"),
                          Success("r2", "two")};
    CHECK(Run(loop, client, endpoint, "r1").m_body == "one");
  }
  SECTION("the second copy while the connection is idle") {
    endpoint.m_scripts = {Success("r1", "one"), Success("r2", "two")};
    CHECK(Run(loop, client, endpoint, "r1").m_body == "one");
    endpoint.SendUnsolicited(Success("r1", "one"));
    RunBriefly(loop);
  }
  SECTION("the second copy where the next response is expected") {
    endpoint.m_scripts = {Success("r1", "one"),
                          Success("r1", "one") + Success("r2", "two")};
    CHECK(Run(loop, client, endpoint, "r1").m_body == "one");
  }
  const Outcome second = Run(loop, client, endpoint, "r2");
  CHECK(second.m_heads == 1);
  CHECK(second.m_body == "two");
  CHECK(second.m_done);
}

TEST_CASE(
    "A connection that carried another request's response is not reused") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  endpoint.m_scripts = {Success("other", "x") + Success("r1", "one"),
                        Success("r2", "two")};
  CHECK(Run(loop, client, endpoint, "r1").m_body == "one");
  CHECK(Run(loop, client, endpoint, "r2").m_body == "two");
  CHECK(endpoint.connections() == 2);
}

TEST_CASE("A call that receives only another request's response times out") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  endpoint.m_scripts = {Success("other", "x")};
  const Outcome outcome = Run(loop, client, endpoint, "r1");
  CHECK(outcome.m_heads == 0);
  CHECK(outcome.m_body.empty());
  CHECK(outcome.m_failure == ErrorCode::kTimedOut);
}

TEST_CASE(
    "A call with a malformed response fails and is not reported as done") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  SECTION("bytes that are not HTTP") {
    endpoint.m_scripts = {"\x01\x02 what is this\r\n\r\n"};
  }
  SECTION("a 200 response without a request id") {
    endpoint.m_scripts = {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"};
  }
  SECTION("conflicting lengths") {
    endpoint.m_scripts = {
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 1\r\n"
        "Content-Length: 2\r\n\r\nxy"};
  }
  SECTION("a chunk with an invalid length") {
    endpoint.m_scripts = {
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n"
        "\r\nzz\r\nxy\r\n0\r\n\r\n"};
  }
  const Outcome outcome = Run(loop, client, endpoint, "r1");
  CHECK_FALSE(outcome.m_done);
  CHECK(outcome.m_failure == ErrorCode::kProtocol);
}

TEST_CASE("Bytes after a response are discarded with the connection") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  endpoint.m_scripts = {Success("r1", "one") + "garbage", Success("r2", "two")};
  CHECK(Run(loop, client, endpoint, "r1").m_body == "one");
  CHECK(Run(loop, client, endpoint, "r2").m_body == "two");
  CHECK(endpoint.connections() == 2);
}

TEST_CASE("A response head without end fails the call within bounded memory") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  endpoint.m_scripts = {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX-Endless: " +
                        std::string(std::size_t{4} * 1024 * 1024, 'x')};
  const Outcome outcome = Run(loop, client, endpoint, "r1");
  CHECK(outcome.m_heads == 0);
  CHECK(outcome.m_failure == ErrorCode::kProtocol);
}

TEST_CASE("A long run of bytes that are not HTTP fails the call") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  endpoint.m_scripts = {std::string(std::size_t{4} * 1024 * 1024, 'z')};
  const Outcome outcome = Run(loop, client, endpoint, "r1");
  CHECK(outcome.m_heads == 0);
  CHECK(outcome.m_failure == ErrorCode::kProtocol);
}

// Regression test (REFUSED, TWICE): an earlier refusal, written once more
// without its request's id, was taken for the current request's answer.
TEST_CASE("An answer without an id is not matched on a reused connection") {
  const std::string refusal =
      "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  endpoint.m_scripts = {refusal, refusal + Success("r2", "two"),
                        Success("r3", "three")};
  const Outcome first = Run(loop, client, endpoint, "r1");
  CHECK(first.m_done);
  CHECK(first.m_heads == 1);
  const Outcome second = Run(loop, client, endpoint, "r2");
  CHECK(second.m_heads == 0);
  CHECK(second.m_failure == ErrorCode::kProtocol);
  CHECK(Run(loop, client, endpoint, "r3").m_body == "three");
  CHECK(endpoint.connections() == 2);
}
