// Accepts connections of the inner protocol.

#ifndef SOURCE_WIRE_LISTENER_H_
#define SOURCE_WIRE_LISTENER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/event_loop.h"

struct evconnlistener;

namespace hickoryloft::wire {

// Listens on one address. Use on the loop's thread only.
class Listener {
 public:
  // Calls `accepted` with each new socket, which the callback owns; pass it to
  // Connection::Accepted(). Port 0 picks a free port. Throws
  // Error(kInvalidArgument) for a bad address, Error(kIo) if it cannot be
  // bound.
  Listener(EventLoop& loop,
           const std::string& address,
           std::uint16_t port,
           std::function<void(int socket)> accepted);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Returns the bound port.
  std::uint16_t port() const { return m_port; }

 private:
  std::function<void(int)> m_accepted;
  evconnlistener* m_listener = nullptr;
  std::uint16_t m_port = 0;
};

}  // namespace hickoryloft::wire

#endif  // SOURCE_WIRE_LISTENER_H_
