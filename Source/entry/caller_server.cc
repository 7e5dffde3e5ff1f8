#include "entry/caller_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <vector>

#include "base/socket_address.h"
#include "base/socket_options.h"
#include "entry/evhttp_exchange.h"

namespace hickoryloft::entry {

namespace {

constexpr int kListenBacklog = 4096;
constexpr std::uint16_t kAllowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_HEAD |
                                          EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                          EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH;

std::uint16_t BoundPort(int socket) {
  sockaddr_storage bound{};
  socklen_t size = sizeof(bound);
  getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
  return bound.ss_family == AF_INET6
             ? ntohs(reinterpret_cast<sockaddr_in6*>(&bound)->sin6_port)
             : ntohs(reinterpret_cast<sockaddr_in*>(&bound)->sin_port);
}

}  // namespace

CallerServer::CallerServer(EventLoop& loop,
                           const SocketSetting& listen,
                           const CallerLimits& limits,
                           Handler handler)
    : m_loop(loop),
      m_limits(limits),
      m_handler(std::move(handler)),
      m_watch(loop,
              limits.m_request_timeout,
              [this] { PauseOrResumeAccepting(); }),
      m_http(evhttp_new(loop.base())),
      m_scratch(evbuffer_new()) {
  evhttp_set_max_headers_size(m_http,
                              static_cast<ev_ssize_t>(limits.m_header_bytes));
  evhttp_set_max_body_size(m_http,
                           static_cast<ev_ssize_t>(limits.m_body_bytes));
  evhttp_set_allowed_methods(m_http, kAllowedMethods);
  const timeval idle = ToTimeval(limits.m_idle_timeout);
  evhttp_set_timeout_tv(m_http, &idle);
  evhttp_set_default_content_type(m_http, nullptr);
  evhttp_set_bevcb(m_http, &OnConnection, this);
  evhttp_set_gencb(m_http, &OnRequest, this);
  Listen(listen);
}

CallerServer::~CallerServer() {
  AbortAll();
  evhttp_free(m_http);
  evbuffer_free(m_scratch);
}

void CallerServer::Listen(const SocketSetting& listen) {
  const SocketAddress target =
      ParseSocketAddress(listen.m_address, listen.m_port);
  m_listener = evconnlistener_new_bind(
      m_loop.base(), nullptr, nullptr,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kListenBacklog, target.get(), target.size());
  if (m_listener == nullptr) {
    const std::string reason = std::strerror(errno);
    evhttp_free(m_http);
    evbuffer_free(m_scratch);
    throw Error(ErrorCode::kIo, "cannot listen on " + listen.m_address + ":" +
                                    std::to_string(listen.m_port) + ": " +
                                    reason);
  }
  m_port = BoundPort(evconnlistener_get_fd(m_listener));
  m_bound_socket = evhttp_bind_listener(m_http, m_listener);
}

bufferevent* CallerServer::OnConnection(event_base* /*base*/, void* self) {
  auto* server = static_cast<CallerServer*>(self);
  bufferevent* buffer = server->m_watch.NewBuffer();
  server->PauseOrResumeAccepting();
  return buffer;
}

void CallerServer::PauseOrResumeAccepting() {
  if (m_listener == nullptr) {
    return;
  }
  if (m_watch.size() >= m_limits.m_connections) {
    evconnlistener_disable(m_listener);
  } else {
    evconnlistener_enable(m_listener);
  }
}

void CallerServer::OnRequest(evhttp_request* request, void* self) {
  auto* server = static_cast<CallerServer*>(self);
  bufferevent* buffer =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
  if (server->m_watch.OnRequest(buffer)) {
    const int on = 1;
    setsockopt(bufferevent_getfd(buffer), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
  }
  auto exchange =
      std::make_shared<EvhttpExchange>(*server, request, server->m_loop.Now());
  server->m_exchanges.emplace(exchange.get(), exchange);
  server->m_handler(std::move(exchange));
}

void CallerServer::SetTimeouts(bufferevent* buffer, bool answering) const {
  const timeval idle = ToTimeval(m_limits.m_idle_timeout);
  // No read timeout while answering, since callers then send nothing.
  bufferevent_set_timeouts(buffer, answering ? nullptr : &idle, &idle);
}

std::shared_ptr<EvhttpExchange> CallerServer::RemoveExchange(
    const EvhttpExchange* exchange) {
  auto node = m_exchanges.extract(exchange);
  return node.empty() ? nullptr : std::move(node.mapped());
}

void CallerServer::StopListening() {
  if (m_listener != nullptr) {
    m_listener = nullptr;
    evhttp_del_accept_socket(m_http, m_bound_socket);
  }
}

void CallerServer::AbortAll() {
  std::vector<std::shared_ptr<EvhttpExchange>> unanswered;
  for (const auto& [key, exchange] : m_exchanges) {
    unanswered.push_back(exchange);
  }
  for (const auto& exchange : unanswered) {
    exchange->Abort();
  }
}

}  // namespace hickoryloft::entry
