// An endpoint whose responses a test writes byte by byte, and a caller of it.

#ifndef TESTS_ENDPOINT_SCRIPTED_ENDPOINT_H_
#define TESTS_ENDPOINT_SCRIPTED_ENDPOINT_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/socket_address.h"
#include "endpoint/pooled_http_client.h"

namespace hickoryloft::endpoint {

inline constexpr Duration kTestLimit = seconds(5);

// Sends the next script verbatim for each request that it reads. Not
// thread-safe.
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
  // Writes the last script of a connection once more ahead of the next one.
  bool m_copies_answers = false;
  // Returns bytes to write ahead of the next script on a connection, given the
  // earlier ones.
  std::function<std::string(const std::vector<std::string>&)> m_extra_bytes;

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
    std::vector<std::string>& earlier = endpoint->m_earlier[connection];
    std::string extra;
    if (endpoint->m_copies_answers && !earlier.empty()) {
      extra = earlier.back();
    } else if (endpoint->m_extra_bytes) {
      extra = endpoint->m_extra_bytes(earlier);
    }
    bufferevent_write(connection, extra.data(), extra.size());
    earlier.push_back(script);
    bufferevent_write(connection, script.data(), script.size());
  }

  EventLoop& m_loop;
  evconnlistener* m_listener = nullptr;
  std::vector<bufferevent*> m_connections;
  std::map<bufferevent*, std::vector<std::string>> m_earlier;
  std::uint16_t m_port = 0;
};

inline std::string Success(const std::string& id, const std::string& body) {
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

inline Outcome Run(EventLoop& loop,
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
inline void RunBriefly(EventLoop& loop) {
  const auto pause = loop.After(milliseconds(50), [&] { loop.Stop(); });
  loop.Run();
}

}  // namespace hickoryloft::endpoint

#endif  // TESTS_ENDPOINT_SCRIPTED_ENDPOINT_H_
