// HTTP calls to endpoints by evhttp, with idle connections kept per endpoint.

#ifndef SOURCE_ENDPOINT_EVENT_HTTP_CLIENT_H_
#define SOURCE_ENDPOINT_EVENT_HTTP_CLIENT_H_

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/event_loop.h"
#include "endpoint/http_client.h"

struct evhttp_connection;

namespace hickoryloft::endpoint {

class EventHttpExchange;

// Keeps up to kMaxIdleConnections open connections per endpoint. Use on the
// loop's thread only. Must outlive its calls.
class EventHttpClient : public HttpClient {
 public:
  static constexpr std::size_t kMaxIdleConnections = 256;

  explicit EventHttpClient(EventLoop& loop,
                           Duration connect_timeout = kDefaultConnectTimeout);
  ~EventHttpClient() override;
  EventHttpClient(const EventHttpClient&) = delete;
  EventHttpClient& operator=(const EventHttpClient&) = delete;

  std::unique_ptr<Call> Start(CallRequest request, CallEvents events) override;

 private:
  friend class EventHttpExchange;

  // A connection for one call, and whether it has been used before.
  struct Lease {
    evhttp_connection* m_connection = nullptr;
    bool m_reused = false;
  };

  Lease Acquire(const CallRequest& request);
  // Takes back a connection whose call is over and which may be used again.
  void Release(const EndpointAddress& endpoint, evhttp_connection* connection);
  // Closes a connection after the current callback.
  void Discard(evhttp_connection* connection);
  void Finish(const std::shared_ptr<EventHttpExchange>& exchange);

  EventLoop& m_loop;
  Duration m_connect_timeout;
  // Proves to posted callbacks that the client still exists.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  std::unordered_map<std::string, std::vector<evhttp_connection*>> m_idle;
  std::unordered_set<evhttp_connection*> m_connections;  // Owns all.
  std::unordered_set<std::shared_ptr<EventHttpExchange>> m_running;
};

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_EVENT_HTTP_CLIENT_H_
