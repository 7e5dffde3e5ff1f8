#include "wire/listener.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "base/error.h"
#include "base/socket_address.h"

namespace hickoryloft::wire {

namespace {

constexpr int kBacklog = 512;

std::uint16_t BoundPort(int socket) {
  sockaddr_storage bound{};
  socklen_t size = sizeof(bound);
  if (getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size) != 0) {
    throw Error(ErrorCode::kIo, "the bound port cannot be read: " +
                                    std::string(std::strerror(errno)));
  }
  if (bound.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&bound)->sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in*>(&bound)->sin_port);
}

void OnAccept(evconnlistener* /*listener*/,
              int socket,
              sockaddr* /*address*/,
              int /*size*/,
              void* accepted) {
  (*static_cast<std::function<void(int)>*>(accepted))(socket);
}

}  // namespace

Listener::Listener(EventLoop& loop,
                   const std::string& address,
                   std::uint16_t port,
                   std::function<void(int)> accepted)
    : m_accepted(std::move(accepted)) {
  const SocketAddress target = ParseSocketAddress(address, port);
  m_listener =
      evconnlistener_new_bind(loop.base(), &OnAccept, &m_accepted,
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                              kBacklog, target.get(), target.size());
  if (m_listener == nullptr) {
    throw Error(ErrorCode::kIo, "cannot listen on " + address + ":" +
                                    std::to_string(port) + ": " +
                                    std::strerror(errno));
  }
  m_port = BoundPort(evconnlistener_get_fd(m_listener));
}

Listener::~Listener() {
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
  }
}

}  // namespace hickoryloft::wire
