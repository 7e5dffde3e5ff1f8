// Answers of an endpoint that closes or resets the connection before their end,
// at each byte.

#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "base/socket_address.h"
#include "endpoint/pooled_http_client.h"

using namespace hickoryloft;
using namespace hickoryloft::endpoint;

namespace {

constexpr Duration kTestLimit = seconds(5);

enum class Ending { kStaysOpen, kClose, kReset, kLateReset };

// Sends m_answer for each request, then ends the connection as m_ending says.
class CuttingEndpoint {
 public:
  explicit CuttingEndpoint(EventLoop& loop) : m_loop(loop) {
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
  ~CuttingEndpoint() {
    Close();
    evconnlistener_free(m_listener);
  }
  CuttingEndpoint(const CuttingEndpoint&) = delete;
  CuttingEndpoint& operator=(const CuttingEndpoint&) = delete;

  EndpointAddress Address() const {
    return {EndpointId("e1"), "127.0.0.1", m_port};
  }

  std::string m_answer;
  Ending m_ending = Ending::kStaysOpen;
  int m_connections = 0;

 private:
  static void OnAccept(evconnlistener* /*listener*/,
                       evutil_socket_t socket,
                       sockaddr* /*peer*/,
                       int /*size*/,
                       void* self) {
    auto* endpoint = static_cast<CuttingEndpoint*>(self);
    endpoint->Close();
    ++endpoint->m_connections;
    endpoint->m_socket = socket;
    endpoint->m_readable = event_new(
        endpoint->m_loop.base(), socket, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* owner) {
          static_cast<CuttingEndpoint*>(owner)->Respond();
        },
        self);
    event_add(endpoint->m_readable, nullptr);
  }

  void Respond() {
    std::array<char, 4096> request{};
    if (recv(m_socket, request.data(), request.size(), 0) <= 0) {
      Close();
      return;
    }
    REQUIRE(send(m_socket, m_answer.data(), m_answer.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(m_answer.size()));
    if (m_ending == Ending::kLateReset) {
      // The client has read the bytes before the reset.
      m_timer = m_loop.After(milliseconds(1), [this] { Reset(); });
    } else if (m_ending == Ending::kReset) {
      Reset();
    } else if (m_ending == Ending::kClose) {
      Close();
    }
  }

  void Reset() {
    const linger discard{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    Close();
  }

  void Close() {
    if (m_socket >= 0) {
      event_free(m_readable);
      close(m_socket);
      m_socket = -1;
    }
  }

  EventLoop& m_loop;
  evconnlistener* m_listener = nullptr;
  event* m_readable = nullptr;
  int m_socket = -1;
  std::uint16_t m_port = 0;
  std::unique_ptr<Timer> m_timer;
};

struct Outcome {
  std::optional<AnswerHead> m_head;
  std::string m_body;
  bool m_done = false;
  std::optional<ErrorCode> m_failure;
};

Outcome Run(EventLoop& loop,
            PooledHttpClient& client,
            const CuttingEndpoint& endpoint,
            const std::string& id = "r1") {
  Outcome outcome;
  const auto call = client.Start(
      {.m_endpoint = endpoint.Address(),
       .m_target = "/",
       .m_headers = {{"Request-Id", id}},
       .m_body = "body",
       .m_echo = {"Request-Id", id}},
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

struct Framing {
  std::string m_name;
  std::string m_field;
  std::string m_body;
};

// Runs one call whose answer is cut after `bytes`, and checks its outcome.
void CheckCut(const std::string& answer,
              std::size_t head_size,
              std::size_t bytes,
              Ending ending,
              bool kept) {
  INFO("answer " << answer << ", cut after " << bytes);
  EventLoop loop;
  CuttingEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  if (kept) {
    endpoint.m_answer =
        "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 2\r\n\r\nok";
    REQUIRE(Run(loop, client, endpoint, "r0").m_done);
  }
  endpoint.m_answer = answer.substr(0, bytes);
  endpoint.m_ending = ending;
  const Outcome outcome = Run(loop, client, endpoint);
  CHECK(endpoint.m_connections == 1);
  const bool marked_unframed =
      outcome.m_head && outcome.m_head->m_ends_with_connection;
  if (ending == Ending::kClose && bytes >= head_size && marked_unframed) {
    // The end of the connection is the answer's end.
    CHECK(outcome.m_done);
    return;
  }
  CHECK_FALSE(outcome.m_done);
  CHECK(outcome.m_failure == ErrorCode::kOutcomeUnknown);
  if (bytes < head_size) {
    CHECK_FALSE(outcome.m_head);
    CHECK(outcome.m_body.empty());
  }
}

}  // namespace

TEST_CASE("An answer that is cut at any byte is not complete") {
  const auto framing =
      GENERATE(values<Framing>({{"length", "Content-Length: 5\r\n", "abcde"},
                                {"empty", "Content-Length: 0\r\n", ""},
                                {"chunks", "Transfer-Encoding: chunked\r\n",
                                 "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"},
                                {"none", "", "abcde"}}));
  const auto interim =
      GENERATE(as<std::string>(), "", "HTTP/1.1 100 Continue\r\n\r\n",
               "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
  const bool kept = GENERATE(false, true);
  const Ending ending =
      GENERATE(Ending::kClose, Ending::kReset, Ending::kLateReset);
  const std::string head = interim + "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" +
                           framing.m_field + "\r\n";
  const std::string answer = head + framing.m_body;
  CAPTURE(framing.m_name, interim, kept, static_cast<int>(ending));
  // Without a length or chunks, the last byte does not end the answer.
  const std::size_t cuts = answer.size() + (framing.m_field.empty() ? 1 : 0);
  for (std::size_t bytes = 0; bytes < cuts; ++bytes) {
    CheckCut(answer, head.size(), bytes, ending, kept);
  }
}
