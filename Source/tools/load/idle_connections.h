// Keep-alive connections that stay open and idle after one request each.

#ifndef SOURCE_TOOLS_LOAD_IDLE_CONNECTIONS_H_
#define SOURCE_TOOLS_LOAD_IDLE_CONNECTIONS_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "base/event_loop.h"
#include "endpoint/orders.h"

struct evhttp_connection;
struct evhttp_request;

namespace hickoryloft::tools {

// Use on the loop's thread only.
class IdleConnections {
 public:
  explicit IdleConnections(EventLoop& loop) : m_loop(loop) {}
  ~IdleConnections();
  IdleConnections(const IdleConnections&) = delete;
  IdleConnections& operator=(const IdleConnections&) = delete;

  // Opens `count` connections spread evenly over `targets`, a limited number at
  // a time, and sends one GET /healthz on each. Calls `done` when all requests
  // have been answered or have failed. Precondition: `targets` is not empty if
  // `count` is positive.
  void Open(std::size_t count,
            std::vector<endpoint::EndpointAddress> targets,
            std::function<void()> done);

  // Returns the number of requests answered with status 200.
  std::size_t answered() const { return m_answered; }

 private:
  static void OnReply(evhttp_request* request, void* self);
  void OpenNext();
  void HandleReply(bool answered);

  EventLoop& m_loop;
  std::size_t m_count = 0;
  std::size_t m_finished_requests = 0;
  std::size_t m_answered = 0;
  std::vector<endpoint::EndpointAddress> m_targets;
  std::vector<evhttp_connection*> m_connections;
  std::function<void()> m_done;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_LOAD_IDLE_CONNECTIONS_H_
