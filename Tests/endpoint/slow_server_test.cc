// Endpoints that read requests slowly, and endpoints that are gone.

#include <event2/listener.h>

#include <catch2/catch.hpp>
#include <string>

#include "Tests/http/raw_caller.h"
#include "base/socket_address.h"
#include "endpoint/pooled_http_client.h"

using namespace hickoryloft;
using namespace hickoryloft::endpoint;

namespace {

constexpr std::size_t kBodyBytes = std::size_t{2} * 1024 * 1024;
// Longer than the silence after which a peer is considered gone.
constexpr Duration kPause = seconds(5);

// Accepts one connection, and reads and writes on a thread of its own.
class BlockingEndpoint {
 public:
  explicit BlockingEndpoint(int receive_buffer)
      : m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
    if (receive_buffer > 0) {
      setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
    }
    const SocketAddress any = ParseSocketAddress("127.0.0.1", 0);
    REQUIRE(bind(m_listener, any.get(), static_cast<socklen_t>(any.size())) ==
            0);
    listen(m_listener, 1);
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&bound), &size);
    m_port = ntohs(bound.sin_port);
  }
  ~BlockingEndpoint() {
    close(m_connection);
    close(m_listener);
  }
  BlockingEndpoint(const BlockingEndpoint&) = delete;
  BlockingEndpoint& operator=(const BlockingEndpoint&) = delete;

  EndpointAddress Address() const {
    return {EndpointId("e1"), "127.0.0.1", m_port};
  }
  void Accept() { m_connection = accept(m_listener, nullptr, nullptr); }
  int connection() const { return m_connection; }
  // Reads at least `bytes`, unless the connection ends.
  std::size_t Read(std::size_t bytes) {
    std::string buffer(64 * 1024, '\0');
    std::size_t got = 0;
    while (got < bytes) {
      const ssize_t size = recv(m_connection, buffer.data(), buffer.size(), 0);
      if (size <= 0) {
        break;
      }
      got += static_cast<std::size_t>(size);
    }
    return got;
  }
  void Write(const std::string& text) {
    send(m_connection, text.data(), text.size(), MSG_NOSIGNAL);
  }

 private:
  int m_listener;
  int m_connection = -1;
  std::uint16_t m_port = 0;
};

// One call and what came of it.
struct TrackedCall {
  TrackedCall(EventLoop& loop, HttpClient& client, EndpointAddress endpoint)
      : m_call(client.Start(
            {.m_endpoint = std::move(endpoint),
             .m_target = "/",
             .m_body = std::string(kBodyBytes, 'x')},
            {.m_head =
                 [this](const AnswerHead& head) { m_status = head.m_status; },
             .m_done = [&loop] { loop.Stop(); },
             .m_failed =
                 [this, &loop](const Error& error) {
                   m_failure = error.code();
                   loop.Stop();
                 }})) {}

  int m_status = 0;
  std::optional<ErrorCode> m_failure;
  std::unique_ptr<Call> m_call;
};

}  // namespace

// Guards against requests that fail because their endpoint reads slowly (the
// cause of review/12): a closed window is no sign that the peer is gone.
TEST_CASE("An endpoint that stops reading for seconds gets the whole request") {
  EventLoop loop;
  PooledHttpClient client(loop);
  BlockingEndpoint endpoint(4096);
  std::size_t got = 0;
  std::thread thread([&] {
    endpoint.Accept();
    std::this_thread::sleep_for(kPause);
    got = endpoint.Read(kBodyBytes + 1);  // And the head.
    endpoint.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  TrackedCall call(loop, client, endpoint.Address());
  const auto limit = loop.After(seconds(15), [&] { loop.Stop(); });
  loop.Run();
  thread.join();
  CHECK_FALSE(call.m_failure);
  CHECK(call.m_status == 200);
  CHECK(got > kBodyBytes);
}

// Guards against calls that wait for the whole idle time for an endpoint that
// vanished with a part of the request.
TEST_CASE("An endpoint that vanishes during a request is noticed in seconds") {
  EventLoop loop;
  PooledHttpClient client(loop);
  BlockingEndpoint endpoint(4096);
  std::thread thread([&] {
    endpoint.Accept();
    std::this_thread::sleep_for(milliseconds(100));
    http::DropInput(endpoint.connection());
  });
  TrackedCall call(loop, client, endpoint.Address());
  const auto limit = loop.After(seconds(8), [&] { loop.Stop(); });
  loop.Run();
  thread.join();
  CHECK(call.m_failure == ErrorCode::kOutcomeUnknown);
}
