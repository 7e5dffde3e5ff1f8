// Responses of a faulty endpoint: duplicated, malformed or belonging to another
// request.

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "base/socket_address.h"
#include "endpoint/pooled_http_client.h"

using namespace hickoryloft;
using namespace hickoryloft::endpoint;

namespace {

constexpr Duration kTestLimit = seconds(5);

// Sends the next script verbatim for each request that it reads.
class ScriptedEndpoint {
 public:
  explicit ScriptedEndpoint(EventLoop& loop) : m_loop(loop) {
    const SocketAddress any = ParseSocketAddress("127.0.0.1", 0);
    m_listener = evconnlistener_new_bind(
        loop.base(), &OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        -1, any.get(), static_cast<int>(any.size()));
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(evconnlistener_get_fd(m_listener),
                reinterpret_cast<sockaddr*>(&bound), &size);
    m_port = ntohs(bound.sin_port);
  }
  ~ScriptedEndpoint() {
    evconnlistener_free(m_listener);
    for (bufferevent* connection : m_connections) {
      bufferevent_free(connection);
    }
  }
  ScriptedEndpoint(const ScriptedEndpoint&) = delete;
  ScriptedEndpoint& operator=(const ScriptedEndpoint&) = delete;

  EndpointAddress Address() const {
    return {EndpointId("e1"), "127.0.0.1", m_port};
  }
  // Sends `bytes` on the newest connection without a request.
  void SendUnsolicited(const std::string& bytes) {
    bufferevent_write(m_connections.back(), bytes.data(), bytes.size());
  }
  std::size_t connections() const { return m_connections.size(); }

  std::deque<std::string> m_scripts;

 private:
  static void OnAccept(evconnlistener* /*listener*/,
                       evutil_socket_t socket,
                       sockaddr* /*peer*/,
                       int /*size*/,
                       void* self) {
    auto* endpoint = static_cast<ScriptedEndpoint*>(self);
    bufferevent* connection = bufferevent_socket_new(
        endpoint->m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(connection, &OnReadable, nullptr, nullptr, self);
    bufferevent_enable(connection, EV_READ | EV_WRITE);
    endpoint->m_connections.push_back(connection);
  }
  static void OnReadable(bufferevent* connection, void* self) {
    auto* endpoint = static_cast<ScriptedEndpoint*>(self);
    evbuffer* input = bufferevent_get_input(connection);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (endpoint->m_scripts.empty()) {
      return;
    }
    const std::string script = endpoint->m_scripts.front();
    endpoint->m_scripts.pop_front();
    bufferevent_write(connection, script.data(), script.size());
  }

  EventLoop& m_loop;
  evconnlistener* m_listener = nullptr;
  std::vector<bufferevent*> m_connections;
  std::uint16_t m_port = 0;
};

std::string Answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

struct Outcome {
  int m_heads = 0;
  std::string m_body;
  bool m_done = false;
  std::optional<ErrorCode> m_failure;
};

Outcome Run(EventLoop& loop,
            PooledHttpClient& client,
            const ScriptedEndpoint& endpoint,
            const std::string& id) {
  Outcome outcome;
  const auto call = client.Start(
      {.m_endpoint = endpoint.Address(),
       .m_target = "/",
       .m_headers = {{"Request-Id", id}},
       .m_body = "body",
       .m_idle_timeout = milliseconds(300),
       .m_echo = {"Request-Id", id}},
      {.m_head = [&](const AnswerHead&) { ++outcome.m_heads; },
       .m_bytes = [&](std::string_view bytes) { outcome.m_body += bytes; },
       .m_done =
           [&] {
             outcome.m_done = true;
             loop.Stop();
           },
       .m_failed =
           [&](const Error& error) {
             outcome.m_failure = error.code();
             loop.Stop();
           }});
  const auto limit = loop.After(kTestLimit, [&] { loop.Stop(); });
  loop.Run();
  return outcome;
}

// Runs the loop for 50 ms, so that the client reads what has arrived.
void RunBriefly(EventLoop& loop) {
  const auto pause = loop.After(milliseconds(50), [&] { loop.Stop(); });
  loop.Run();
}

}  // namespace

TEST_CASE("A duplicate response is not delivered to a later request") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  SECTION("both copies in one write") {
    endpoint.m_scripts = {Answer("r1", "one") + Answer("r1", "one"),
                          Answer("r2", "two")};
    CHECK(Run(loop, client, endpoint, "r1").m_body == "one");
  }
  SECTION("the second copy while the connection is idle") {
    endpoint.m_scripts = {Answer("r1", "one"), Answer("r2", "two")};
    CHECK(Run(loop, client, endpoint, "r1").m_body == "one");
    endpoint.SendUnsolicited(Answer("r1", "one"));
    RunBriefly(loop);
  }
  SECTION("the second copy where the next response is expected") {
    endpoint.m_scripts = {Answer("r1", "one"),
                          Answer("r1", "one") + Answer("r2", "two")};
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
  endpoint.m_scripts = {Answer("other", "x") + Answer("r1", "one"),
                        Answer("r2", "two")};
  CHECK(Run(loop, client, endpoint, "r1").m_body == "one");
  CHECK(Run(loop, client, endpoint, "r2").m_body == "two");
  CHECK(endpoint.connections() == 2);
}

TEST_CASE("A call that receives only another request's response times out") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  endpoint.m_scripts = {Answer("other", "x")};
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
  endpoint.m_scripts = {Answer("r1", "one") + "garbage", Answer("r2", "two")};
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
  endpoint.m_scripts = {refusal, refusal + Answer("r2", "two"),
                        Answer("r3", "three")};
  const Outcome first = Run(loop, client, endpoint, "r1");
  CHECK(first.m_done);
  CHECK(first.m_heads == 1);
  const Outcome second = Run(loop, client, endpoint, "r2");
  CHECK(second.m_heads == 0);
  CHECK(second.m_failure == ErrorCode::kProtocol);
  CHECK(Run(loop, client, endpoint, "r3").m_body == "three");
  CHECK(endpoint.connections() == 2);
}
