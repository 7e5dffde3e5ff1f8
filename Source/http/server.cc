#include "http/server.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <limits>
#include <utility>

#include "base/error.h"
#include "base/socket_address.h"
#include "http/server_connection.h"

namespace hickoryloft::http {

namespace {

constexpr std::size_t kMaxSmallBodyBytes = std::size_t{64} * 1024;
// Share of the memory for bodies that is left to small ones.
constexpr std::size_t kSmallBodyShare = 8;

}  // namespace

Server::Server(EventLoop& loop,
               const std::string& address,
               std::uint16_t port,
               Handler handler)
    : m_loop(loop), m_handler(std::move(handler)) {
  const SocketAddress target = ParseSocketAddress(address, port);
  constexpr int kBacklog = 1024;
  m_listener = evconnlistener_new_bind(
      loop.base(), &OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      kBacklog, target.get(), target.size());
  if (m_listener == nullptr) {
    throw Error(ErrorCode::kIo, "cannot listen on " + address + ":" +
                                    std::to_string(port) +
                                    "; is another program using the port?");
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(evconnlistener_get_fd(m_listener),
              reinterpret_cast<sockaddr*>(&bound), &size);
  m_port = ntohs(bound.sin_port);
}

Server::~Server() {
  StopListening();
  const auto connections = std::move(m_connections);
  m_connections.clear();
  for (const auto& connection : connections) {
    connection->Close("the server stops");
  }
}

void Server::OnAccept(evconnlistener* /*listener*/,
                      int socket,
                      sockaddr* /*peer*/,
                      int /*peer_size*/,
                      void* self) {
  auto* server = static_cast<Server*>(self);
  const auto connection = std::make_shared<ServerConnection>(*server, socket);
  server->m_connections.insert(connection);
  connection->Start();
}

std::size_t Server::BodyLimitFor(std::size_t size) const {
  const std::size_t limit = m_limits.m_max_total_body_bytes;
  if (limit == 0) {
    return std::numeric_limits<std::size_t>::max();
  }
  return size > kMaxSmallBodyBytes ? limit - limit / kSmallBodyShare : limit;
}

void Server::RemoveConnection(
    const std::shared_ptr<ServerConnection>& connection) {
  m_connections.erase(connection);
}

void Server::StopListening() {
  if (m_listener != nullptr) {
    evconnlistener_free(std::exchange(m_listener, nullptr));
  }
}

std::vector<std::shared_ptr<ServerConnection>> Server::Select(
    const std::function<bool(const ServerConnection&)>& matches) const {
  std::vector<std::shared_ptr<ServerConnection>> selected;
  for (const auto& connection : m_connections) {
    if (matches(*connection)) {
      selected.push_back(connection);
    }
  }
  return selected;
}

void Server::CloseIdle() {
  const MonotonicTime idle_before = m_loop.Now() - kMinIdleTime;
  for (const auto& connection : Select([&](const ServerConnection& candidate) {
         return candidate.idle() && candidate.idle_since() <= idle_before;
       })) {
    connection->Close("the connection is idle in a planned stop");
  }
}

void Server::RejectUnread() {
  for (const auto& connection : Select([](const ServerConnection& candidate) {
         return candidate.reading_request();
       })) {
    connection->RejectWith(503, "Retry-After: 0\r\n");
  }
}

}  // namespace hickoryloft::http
