#include "keyvalue/evhttp_connection_holder.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "base/error.h"
#include "base/event_loop.h"
#include "keyvalue/http_client.h"

namespace hickoryloft::keyvalue {

namespace {

evhttp_cmd_type ToCommand(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return EVHTTP_REQ_GET;
    case HttpMethod::kPut:
      return EVHTTP_REQ_PUT;
    case HttpMethod::kPost:
      return EVHTTP_REQ_POST;
    case HttpMethod::kDelete:
      return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_POST;
}

}  // namespace

void EvhttpConnectionDeleter::operator()(evhttp_connection* connection) const {
  evhttp_connection_free(connection);
}

EvhttpConnectionHolder MakeEvhttpConnection(EventLoop& loop,
                                            const std::string& address,
                                            std::uint16_t port) {
  EvhttpConnectionHolder connection(
      evhttp_connection_base_new(loop.base(), nullptr, address.c_str(), port));
  if (!connection) {
    throw Error(ErrorCode::kIo,
                "cannot create a connection object for " + address);
  }
  // Longer than any caller's time limit, so that the library's never applies.
  constexpr int kLibraryTimeoutSeconds = 86400;
  evhttp_connection_set_timeout(connection.get(), kLibraryTimeoutSeconds);
  return connection;
}

bool IsEstablished(evhttp_connection* connection) {
  const evutil_socket_t socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  if (socket < 0) {
    return false;
  }
  sockaddr_storage peer{};
  socklen_t size = sizeof(peer);
  return getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
}

bool StartRequest(evhttp_connection* connection,
                  evhttp_request* raw,
                  const HttpRequest& request,
                  const std::string& user_agent) {
  evkeyvalq* headers = evhttp_request_get_output_headers(raw);
  char* address = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection_get_peer(connection, &address, &port);
  const std::string host = std::string(address) + ":" + std::to_string(port);
  evhttp_add_header(headers, "Host", host.c_str());
  if (!user_agent.empty()) {
    evhttp_add_header(headers, "User-Agent", user_agent.c_str());
  }
  for (const auto& [name, value] : request.m_headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(raw), request.m_body.data(),
               request.m_body.size());
  return evhttp_make_request(connection, raw, ToCommand(request.m_method),
                             request.m_path.c_str()) == 0;
}

std::string DrainInput(evhttp_request* raw) {
  evbuffer* input = evhttp_request_get_input_buffer(raw);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  return bytes;
}

}  // namespace hickoryloft::keyvalue
