#include "endpoint/pooled_http_client.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include <catch2/catch.hpp>
#include <optional>
#include <set>

#include "wire/listener.h"

using namespace hickoryloft;
using namespace hickoryloft::endpoint;

namespace {

constexpr Duration kTestLimit = seconds(5);

// An endpoint that echoes the request's body, never answers /silent, and closes
// the connection in the middle of its response to /cut.
class TestEndpoint {
 public:
  explicit TestEndpoint(EventLoop& loop)
      : m_loop(loop), m_http(evhttp_new(loop.base())) {
    evhttp_set_gencb(
        m_http,
        [](evhttp_request* request, void* self) {
          static_cast<TestEndpoint*>(self)->Handle(request);
        },
        this);
    m_socket = evhttp_bind_socket_with_handle(m_http, "127.0.0.1", 0);
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(evhttp_bound_socket_get_fd(m_socket),
                reinterpret_cast<sockaddr*>(&bound), &size);
    m_port = ntohs(bound.sin_port);
  }
  ~TestEndpoint() { evhttp_free(m_http); }

  EndpointAddress Address() const {
    return {EndpointId("e1"), "127.0.0.1", m_port};
  }

  std::set<std::uint16_t> m_peer_ports;
  int m_requests = 0;

 private:
  void Handle(evhttp_request* request) {
    ++m_requests;
    char* address = nullptr;
    std::uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &address,
                               &port);
    m_peer_ports.insert(port);
    const std::string uri = evhttp_request_get_uri(request);
    if (uri == "/silent") {
      return;
    }
    if (uri == "/cut") {
      evhttp_send_reply_start(request, 200, "OK");
      evbuffer* piece = evbuffer_new();
      evbuffer_add_printf(piece, "half");
      evhttp_send_reply_chunk(request, piece);
      evbuffer_free(piece);
      m_timer = m_loop.After(milliseconds(20), [request] {
        evhttp_connection_free(evhttp_request_get_connection(request));
      });
      return;
    }
    evbuffer* body = evbuffer_new();
    evbuffer_add_buffer(body, evhttp_request_get_input_buffer(request));
    evhttp_add_header(
        evhttp_request_get_output_headers(request), "X-Request-Id",
        evhttp_find_header(evhttp_request_get_input_headers(request),
                           "X-Request-Id"));
    evhttp_send_reply(request, 200, "OK", body);
    evbuffer_free(body);
  }

  EventLoop& m_loop;
  evhttp* m_http;
  evhttp_bound_socket* m_socket = nullptr;
  std::uint16_t m_port = 0;
  std::unique_ptr<Timer> m_timer;
};

struct Outcome {
  AnswerHead m_head;
  std::string m_body;
  bool m_done = false;
  std::optional<ErrorCode> m_failure;
};

Outcome RunCall(EventLoop& loop,
                PooledHttpClient& client,
                CallRequest request) {
  Outcome outcome;
  const auto call = client.Start(
      std::move(request),
      {.m_head = [&](const AnswerHead& head) { outcome.m_head = head; },
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

CallRequest Echo(const TestEndpoint& server) {
  return {.m_endpoint = server.Address(),
          .m_target = "/echo",
          .m_headers = {{"X-Request-Id", "r1"}},
          .m_body = "hello"};
}

}  // namespace

TEST_CASE("Calls share a connection unless a fresh one is requested") {
  EventLoop loop;
  TestEndpoint server(loop);
  PooledHttpClient client(loop);
  for (int i = 0; i < 3; ++i) {
    const Outcome outcome = RunCall(loop, client, Echo(server));
    CHECK(outcome.m_done);
    CHECK(outcome.m_head.m_status == 200);
    CHECK(outcome.m_body == "hello");
    REQUIRE(FindHeader(outcome.m_head.m_headers, "x-request-id") != nullptr);
  }
  CHECK(server.m_peer_ports.size() == 1);
  CallRequest fresh = Echo(server);
  fresh.m_fresh_connection = true;
  CHECK(RunCall(loop, client, fresh).m_done);
  CHECK(server.m_peer_ports.size() == 2);
}

TEST_CASE("The failure shows whether part of the request may have been sent") {
  EventLoop loop;
  PooledHttpClient client(loop);
  std::uint16_t closed_port = 0;
  {
    const wire::Listener listener(loop, "127.0.0.1", 0, [](int) {});
    closed_port = listener.port();
  }
  CallRequest unreachable{
      .m_endpoint = {EndpointId("gone"), "127.0.0.1", closed_port},
      .m_target = "/echo",
      .m_fresh_connection = true};
  CHECK(RunCall(loop, client, unreachable).m_failure ==
        ErrorCode::kUnavailable);

  TestEndpoint server(loop);
  CallRequest silent = Echo(server);
  silent.m_target = "/silent";
  silent.m_idle_timeout = milliseconds(100);
  CHECK(RunCall(loop, client, silent).m_failure == ErrorCode::kTimedOut);
  CallRequest cut = Echo(server);
  cut.m_target = "/cut";
  const Outcome outcome = RunCall(loop, client, cut);
  CHECK(outcome.m_body == "half");
  CHECK(outcome.m_failure == ErrorCode::kOutcomeUnknown);
}

TEST_CASE("A cancelled call has no events and a paused one reads nothing") {
  EventLoop loop;
  TestEndpoint server(loop);
  PooledHttpClient client(loop);
  bool any_event = false;
  auto cancelled = client.Start(
      Echo(server), {.m_head = [&](const auto&) { any_event = true; },
                     .m_done = [&] { any_event = true; },
                     .m_failed = [&](const auto&) { any_event = true; }});
  cancelled.reset();
  bool done = false;
  const auto paused = client.Start(Echo(server), {.m_done = [&] {
                                     done = true;
                                     loop.Stop();
                                   }});
  paused->Pause();
  const auto later = loop.After(milliseconds(50), [&] {
    CHECK_FALSE(done);
    paused->Resume();
  });
  const auto limit = loop.After(kTestLimit, [&] { loop.Stop(); });
  loop.Run();
  CHECK(done);
  CHECK_FALSE(any_event);
}
