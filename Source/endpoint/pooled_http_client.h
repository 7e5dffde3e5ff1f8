// HTTP client for endpoints, based on bufferevents, with a pool of idle
// connections per endpoint.

#ifndef SOURCE_ENDPOINT_POOLED_HTTP_CLIENT_H_
#define SOURCE_ENDPOINT_POOLED_HTTP_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/event_loop.h"
#include "endpoint/client_connection.h"
#include "endpoint/http_client.h"

namespace hickoryloft::endpoint {

// Keeps up to kMaxIdleConnections idle connections per address. No connection
// carries two calls whose answers echo the same id. Use on the loop's thread
// only. Must outlive its calls.
class PooledHttpClient : public HttpClient {
 public:
  static constexpr std::size_t kMaxIdleConnections = 256;

  explicit PooledHttpClient(EventLoop& loop,
                            Duration connect_timeout = kDefaultConnectTimeout)
      : m_loop(loop), m_connect_timeout(connect_timeout) {}
  ~PooledHttpClient() override;
  PooledHttpClient(const PooledHttpClient&) = delete;
  PooledHttpClient& operator=(const PooledHttpClient&) = delete;

  std::unique_ptr<Call> Start(CallRequest request, CallEvents events) override;

  // Closes the idle connections to `endpoint`. Call it when an endpoint has
  // been removed.
  void CloseIdle(const EndpointAddress& endpoint);

  std::uint64_t connections_opened() const { return m_opened; }

 private:
  using ConnectionPointer = std::shared_ptr<ClientConnection>;

  ConnectionPointer Acquire(const CallRequest& request);
  // Takes a connection out of `idle` that can carry `request`, and drops those
  // that can carry no more calls. Returns nullptr if there is none.
  ConnectionPointer TakeIdle(std::vector<ConnectionPointer>& idle,
                             const CallRequest& request);
  void ReturnToPool(const ConnectionPointer& connection);
  void Remove(const ConnectionPointer& connection);

  EventLoop& m_loop;
  Duration m_connect_timeout;
  std::uint64_t m_opened = 0;
  std::unordered_map<std::string, std::vector<ConnectionPointer>> m_idle;
  std::unordered_set<ConnectionPointer> m_connections;
};

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_POOLED_HTTP_CLIENT_H_
