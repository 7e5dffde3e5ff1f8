#include "endpoint/pooled_http_client.h"

#include <algorithm>
#include <utility>

namespace hickoryloft::endpoint {

namespace {

std::string KeyOf(const EndpointAddress& endpoint) {
  return endpoint.m_address + ":" + std::to_string(endpoint.m_port);
}

class PooledCall : public Call {
 public:
  explicit PooledCall(std::weak_ptr<ClientConnection> connection,
                      std::shared_ptr<bool> over)
      : m_connection(std::move(connection)), m_over(std::move(over)) {}
  ~PooledCall() override {
    const auto connection = m_connection.lock();
    if (connection && !*m_over) {
      connection->Cancel();
    }
  }
  PooledCall(const PooledCall&) = delete;
  PooledCall& operator=(const PooledCall&) = delete;

  void Pause() override {
    const auto connection = m_connection.lock();
    if (connection && !*m_over) {
      connection->Pause();
    }
  }
  void Resume() override {
    const auto connection = m_connection.lock();
    if (connection && !*m_over) {
      connection->Resume();
    }
  }

 private:
  std::weak_ptr<ClientConnection> m_connection;
  std::shared_ptr<bool> m_over;
};

// Returns `events` with callbacks that set `over` before the last event. A Call
// that is destroyed in or after that event then does not cancel its connection,
// which may already serve another call.
CallEvents EndMarked(CallEvents events, const std::shared_ptr<bool>& over) {
  CallEvents marked = events;
  marked.m_done = [over, done = std::move(events.m_done)] {
    *over = true;
    if (done) {
      done();
    }
  };
  marked.m_failed = [over,
                     failed = std::move(events.m_failed)](const Error& error) {
    *over = true;
    if (failed) {
      failed(error);
    }
  };
  return marked;
}

}  // namespace

PooledHttpClient::~PooledHttpClient() {
  const auto connections = std::move(m_connections);
  m_connections.clear();
  m_idle.clear();
  for (const ConnectionPointer& connection : connections) {
    connection->Cancel();
  }
}

std::unique_ptr<Call> PooledHttpClient::Start(CallRequest request,
                                              CallEvents events) {
  request.m_connect_timeout =
      request.m_connect_timeout.value_or(m_connect_timeout);
  const ConnectionPointer connection = Acquire(request);
  const auto over = std::make_shared<bool>(false);
  connection->Start(std::move(request), EndMarked(std::move(events), over));
  return std::make_unique<PooledCall>(connection, over);
}

PooledHttpClient::ConnectionPointer PooledHttpClient::Acquire(
    const CallRequest& request) {
  const auto idle = m_idle.find(KeyOf(request.m_endpoint));
  while (!request.m_fresh_connection && idle != m_idle.end() &&
         !idle->second.empty()) {
    ConnectionPointer connection = idle->second.back();
    idle->second.pop_back();
    if (connection->usable(m_loop.Now())) {
      return connection;
    }
    m_connections.erase(connection);
  }
  ++m_opened;
  auto connection = std::make_shared<ClientConnection>(
      m_loop, request.m_endpoint,
      ClientConnection::OwnerEvents{
          .m_idle =
              [this](const ConnectionPointer& idle_one) { Keep(idle_one); },
          .m_closed =
              [this](const ConnectionPointer& closed) { Forget(closed); }});
  m_connections.insert(connection);
  return connection;
}

void PooledHttpClient::Keep(const ConnectionPointer& connection) {
  auto& idle = m_idle[KeyOf(connection->endpoint())];
  if (idle.size() >= kMaxIdleConnections) {
    m_connections.erase(connection);
    return;
  }
  idle.push_back(connection);
}

void PooledHttpClient::Forget(const ConnectionPointer& connection) {
  m_connections.erase(connection);
  const auto idle = m_idle.find(KeyOf(connection->endpoint()));
  if (idle == m_idle.end()) {
    return;
  }
  std::erase(idle->second, connection);
  if (idle->second.empty()) {
    m_idle.erase(idle);
  }
}

void PooledHttpClient::CloseIdle(const EndpointAddress& endpoint) {
  const auto idle = m_idle.find(KeyOf(endpoint));
  if (idle == m_idle.end()) {
    return;
  }
  for (const ConnectionPointer& connection : idle->second) {
    m_connections.erase(connection);
  }
  m_idle.erase(idle);
}

}  // namespace hickoryloft::endpoint
