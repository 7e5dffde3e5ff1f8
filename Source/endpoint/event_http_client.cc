#include "endpoint/event_http_client.h"

#include <event2/http.h>

#include "endpoint/event_http_exchange.h"

namespace hickoryloft::endpoint {

namespace {

// The user's handle on an exchange.
class EventHttpCall : public Call {
 public:
  explicit EventHttpCall(std::shared_ptr<EventHttpExchange> exchange)
      : m_exchange(std::move(exchange)) {}
  ~EventHttpCall() override { m_exchange->Cancel(); }

  void Pause() override { m_exchange->Pause(); }
  void Resume() override { m_exchange->Resume(); }

 private:
  std::shared_ptr<EventHttpExchange> m_exchange;
};

std::string PoolKey(const EndpointAddress& endpoint) {
  return endpoint.m_address + ' ' + std::to_string(endpoint.m_port);
}

}  // namespace

EventHttpClient::EventHttpClient(EventLoop& loop, Duration connect_timeout)
    : m_loop(loop), m_connect_timeout(connect_timeout) {}

EventHttpClient::~EventHttpClient() {
  for (evhttp_connection* connection : m_connections) {
    evhttp_connection_free(connection);
  }
}

std::unique_ptr<Call> EventHttpClient::Start(CallRequest request,
                                             CallEvents events) {
  auto exchange = std::make_shared<EventHttpExchange>(*this, std::move(request),
                                                      std::move(events));
  m_running.insert(exchange);
  exchange->Start();
  return std::make_unique<EventHttpCall>(std::move(exchange));
}

EventHttpClient::Lease EventHttpClient::Acquire(const CallRequest& request) {
  const EndpointAddress& endpoint = request.m_endpoint;
  if (!request.m_fresh_connection) {
    const auto found = m_idle.find(PoolKey(endpoint));
    if (found != m_idle.end() && !found->second.empty()) {
      evhttp_connection* connection = found->second.back();
      found->second.pop_back();
      return {connection, /*m_reused=*/true};
    }
  }
  evhttp_connection* connection = evhttp_connection_base_new(
      m_loop.base(), nullptr, endpoint.m_address.c_str(), endpoint.m_port);
  if (connection == nullptr) {
    return {};
  }
  evhttp_connection_set_retries(connection, 0);
  m_connections.insert(connection);
  return {connection, /*m_reused=*/false};
}

void EventHttpClient::Release(const EndpointAddress& endpoint,
                              evhttp_connection* connection) {
  auto& idle = m_idle[PoolKey(endpoint)];
  if (idle.size() >= kMaxIdleConnections) {
    Discard(connection);
    return;
  }
  idle.push_back(connection);
}

void EventHttpClient::Discard(evhttp_connection* connection) {
  const std::weak_ptr<int> alive = m_alive;
  m_loop.Post([this, alive, connection] {
    if (!alive.expired() && m_connections.erase(connection) == 1) {
      evhttp_connection_free(connection);
    }
  });
}

void EventHttpClient::Finish(
    const std::shared_ptr<EventHttpExchange>& exchange) {
  // evhttp may still hold a pointer to the exchange until the posted discard of
  // its connection, which is queued before this.
  const std::weak_ptr<int> alive = m_alive;
  m_loop.Post([this, alive, exchange] {
    if (!alive.expired()) {
      m_running.erase(exchange);
    }
  });
}

}  // namespace hickoryloft::endpoint
