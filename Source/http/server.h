// HTTP/1.1 server based on bufferevents. Unlike evhttp it reports that the
// caller has disconnected while a request runs, streams responses, and can
// abort a response so that it does not look complete.

#ifndef SOURCE_HTTP_SERVER_H_
#define SOURCE_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/event_loop.h"
#include "http/server_exchange.h"

struct evconnlistener;
struct sockaddr;

namespace hickoryloft::http {

class ServerConnection;

// Limits on the size of a request and on the time for sending it.
struct ServerLimits {
  std::size_t m_max_head_bytes = std::size_t{32} * 1024;
  std::size_t m_max_body_bytes = std::size_t{4} * 1024 * 1024;
  // Of all requests that arrive or are being answered; 0: no limit. Larger
  // bodies leave a share of it to smaller ones.
  std::size_t m_max_total_body_bytes = 0;
  Duration m_head_timeout = seconds(10);
  Duration m_idle_timeout = seconds(60);
};

// Use on the loop's thread only.
class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  // The first request on a new connection arrives within this time.
  static constexpr Duration kMinIdleTime = milliseconds(500);

  // Port 0 picks a free port. Throws Error(kInvalidArgument) if `address` is
  // not an IP address, and Error(kIo) if the port cannot be bound.
  Server(EventLoop& loop,
         const std::string& address,
         std::uint16_t port,
         Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return m_port; }

  // Sets the limits of requests of which no byte has been read. The limit of
  // the head applies to new connections only.
  void SetLimits(const ServerLimits& limits) { m_limits = limits; }
  const ServerLimits& limits() const { return m_limits; }

  // From now on every connection is closed after its response.
  void BeginDrain() { m_draining = true; }
  bool draining() const { return m_draining; }
  // Stops accepting connections.
  void StopListening();
  // Closes the connections on which no request has been read or answered for
  // kMinIdleTime.
  void CloseIdle();
  // Rejects the requests that have been read in part, which the handler has not
  // received, with 503 and Retry-After.
  void RejectUnread();

  std::size_t connections() const { return m_connections.size(); }
  // The bodies of all requests that arrive or are being answered.
  std::size_t body_bytes() const { return m_body_bytes; }
  // Number of requests that were rejected because of their body's memory.
  std::uint64_t bodies_rejected() const { return m_bodies_rejected; }
  // Number of connections that were closed before the caller had read the
  // answer.
  std::uint64_t unread_answers() const { return m_unread_answers; }

 private:
  friend class ServerConnection;

  static void OnAccept(evconnlistener* listener,
                       int socket,
                       sockaddr* peer,
                       int peer_size,
                       void* self);
  // Returns the limit of all bodies together up to which a body of `size` bytes
  // is accepted.
  std::size_t BodyLimitFor(std::size_t size) const;
  void RemoveConnection(const std::shared_ptr<ServerConnection>& connection);
  // Returns the connections for which `matches` is true.
  std::vector<std::shared_ptr<ServerConnection>> Select(
      const std::function<bool(const ServerConnection&)>& matches) const;

  EventLoop& m_loop;
  Handler m_handler;
  ServerLimits m_limits;
  bool m_draining = false;
  std::size_t m_body_bytes = 0;
  std::uint64_t m_bodies_rejected = 0;
  std::uint64_t m_unread_answers = 0;
  evconnlistener* m_listener = nullptr;
  std::uint16_t m_port = 0;
  std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
};

}  // namespace hickoryloft::http

#endif  // SOURCE_HTTP_SERVER_H_
