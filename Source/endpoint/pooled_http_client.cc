#include "endpoint/pooled_http_client.h"

#include <algorithm>
#include <utility>

namespace hickoryloft::endpoint {

namespace {

std::string PoolKey(const EndpointAddress& endpoint) {
  return endpoint.m_address + ":" + std::to_string(endpoint.m_port);
}

class PooledCall : public Call {
 public:
  explicit PooledCall(std::weak_ptr<ClientConnection> connection,
                      std::shared_ptr<bool> ended)
      : m_connection(std::move(connection)), m_ended(std::move(ended)) {}
  ~PooledCall() override {
    const auto connection = m_connection.lock();
    if (connection && !*m_ended) {
      connection->Cancel();
    }
  }
  PooledCall(const PooledCall&) = delete;
  PooledCall& operator=(const PooledCall&) = delete;

  void Pause() override {
    const auto connection = m_connection.lock();
    if (connection && !*m_ended) {
      connection->Pause();
    }
  }
  void Resume() override {
    const auto connection = m_connection.lock();
    if (connection && !*m_ended) {
      connection->Resume();
    }
  }

 private:
  std::weak_ptr<ClientConnection> m_connection;
  std::shared_ptr<bool> m_ended;
};

// Returns `events` with callbacks that set `ended` before the last event. A
// Call that is destroyed in or after that event then does not cancel its
// connection, which may already serve another call.
CallEvents MarkEnd(CallEvents events, const std::shared_ptr<bool>& ended) {
  CallEvents result = events;
  result.m_done = [ended, done = std::move(events.m_done)] {
    *ended = true;
    if (done) {
      done();
    }
  };
  result.m_failed = [ended,
                     failed = std::move(events.m_failed)](const Error& error) {
    *ended = true;
    if (failed) {
      failed(error);
    }
  };
  return result;
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
  const auto ended = std::make_shared<bool>(false);
  connection->Start(std::move(request), MarkEnd(std::move(events), ended));
  return std::make_unique<PooledCall>(connection, ended);
}

PooledHttpClient::ConnectionPointer PooledHttpClient::Acquire(
    const CallRequest& request) {
  const auto idle = m_idle.find(PoolKey(request.m_endpoint));
  if (!request.m_fresh_connection && idle != m_idle.end()) {
    if (ConnectionPointer connection = TakeIdle(idle->second, request)) {
      return connection;
    }
  }
  ++m_opened;
  auto connection = std::make_shared<ClientConnection>(
      m_loop, request.m_endpoint, m_opened,
      ClientConnection::OwnerEvents{
          .m_idle =
              [this](const ConnectionPointer& idle_connection) {
                ReturnToPool(idle_connection);
              },
          .m_closed =
              [this](const ConnectionPointer& closed) { Remove(closed); }});
  m_connections.insert(connection);
  return connection;
}

PooledHttpClient::ConnectionPointer PooledHttpClient::TakeIdle(
    std::vector<ConnectionPointer>& idle,
    const CallRequest& request) {
  std::erase_if(idle, [&](const ConnectionPointer& connection) {
    return !connection->usable(m_loop.Now()) &&
           m_connections.erase(connection) > 0;
  });
  // The one that was used last, so that the others can time out.
  const auto found = std::find_if(
      idle.rbegin(), idle.rend(), [&](const ConnectionPointer& connection) {
        return connection->MayCarry(request.m_echo.m_value);
      });
  if (found == idle.rend()) {
    return nullptr;
  }
  ConnectionPointer connection = *found;
  idle.erase(std::next(found).base());
  return connection;
}

void PooledHttpClient::ReturnToPool(const ConnectionPointer& connection) {
  auto& idle = m_idle[PoolKey(connection->endpoint())];
  if (idle.size() >= kMaxIdleConnections) {
    m_connections.erase(connection);
    return;
  }
  idle.push_back(connection);
}

void PooledHttpClient::Remove(const ConnectionPointer& connection) {
  m_connections.erase(connection);
  const auto idle = m_idle.find(PoolKey(connection->endpoint()));
  if (idle == m_idle.end()) {
    return;
  }
  std::erase(idle->second, connection);
  if (idle->second.empty()) {
    m_idle.erase(idle);
  }
}

void PooledHttpClient::CloseIdle(const EndpointAddress& endpoint) {
  const auto idle = m_idle.find(PoolKey(endpoint));
  if (idle == m_idle.end()) {
    return;
  }
  for (const ConnectionPointer& connection : idle->second) {
    m_connections.erase(connection);
  }
  m_idle.erase(idle);
}

}  // namespace hickoryloft::endpoint
