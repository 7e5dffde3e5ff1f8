#include "endpoint/event_http_exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <string>
#include <utility>

namespace hickoryloft::endpoint {

namespace {

evhttp_cmd_type ToCommand(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return EVHTTP_REQ_GET;
    case HttpMethod::kHead:
      return EVHTTP_REQ_HEAD;
    case HttpMethod::kPost:
      return EVHTTP_REQ_POST;
    case HttpMethod::kPut:
      return EVHTTP_REQ_PUT;
    case HttpMethod::kDelete:
      return EVHTTP_REQ_DELETE;
    case HttpMethod::kPatch:
      return EVHTTP_REQ_PATCH;
  }
  return EVHTTP_REQ_GET;
}

timeval ToTimeval(Duration duration) {
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  const std::int64_t micros = duration_cast<microseconds>(duration).count();
  timeval value{};
  value.tv_sec = micros / kMicrosPerSecond;
  value.tv_usec = micros % kMicrosPerSecond;
  return value;
}

AnswerHead ReadHead(evhttp_request* request) {
  AnswerHead head{.m_status = evhttp_request_get_response_code(request),
                  .m_headers = {}};
  const evkeyvalq* fields = evhttp_request_get_input_headers(request);
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    head.m_headers.push_back({field->key, field->value});
  }
  return head;
}

void DisableNagle(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool HasPeer(int socket) {
  sockaddr_storage peer{};
  socklen_t size = sizeof(peer);
  return getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
}

}  // namespace

EventHttpExchange::EventHttpExchange(EventHttpClient& client,
                                     CallRequest request,
                                     CallEvents events)
    : m_client(client),
      m_request(std::move(request)),
      m_events(std::move(events)) {}

void EventHttpExchange::Start() {
  const EventHttpClient::Lease lease = m_client.Acquire(m_request);
  m_connection = lease.m_connection;
  bool started = false;
  if (m_connection != nullptr) {
    const timeval idle_limit = ToTimeval(m_request.m_idle_timeout);
    evhttp_connection_set_timeout_tv(m_connection, &idle_limit);
    started = evhttp_make_request(m_connection, MakeRequest(),
                                  ToCommand(m_request.m_method),
                                  m_request.m_target.c_str()) == 0;
  }
  if (!started) {
    m_client.m_loop.Post([self = shared_from_this()] {
      self->Fail(Error(ErrorCode::kUnavailable,
                       "the connection to " +
                           self->m_request.m_endpoint.m_id.value() +
                           " could not be started"));
    });
    return;
  }
  if (!lease.m_reused) {
    m_connect_timer = m_client.m_loop.After(m_client.m_connect_timeout,
                                            [this] { CheckConnected(); });
  }
}

evhttp_request* EventHttpExchange::MakeRequest() {
  evhttp_request* request = evhttp_request_new(&OnComplete, this);
  evhttp_request_set_header_cb(request, &OnHead);
  evhttp_request_set_chunked_cb(request, &OnBytes);
  evhttp_request_set_error_cb(request, &OnError);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  const std::string host = m_request.m_endpoint.m_address + ":" +
                           std::to_string(m_request.m_endpoint.m_port);
  evhttp_add_header(headers, "Host", host.c_str());
  for (const HeaderField& field : m_request.m_headers) {
    evhttp_add_header(headers, field.m_name.c_str(), field.m_value.c_str());
  }
  if (m_request.m_fresh_connection) {
    evhttp_add_header(headers, "Connection", "close");
  }
  if (!m_request.m_body.empty()) {
    evhttp_add_header(headers, "Content-Length",
                      std::to_string(m_request.m_body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request),
                 m_request.m_body.data(), m_request.m_body.size());
  }
  return request;
}

void EventHttpExchange::CheckConnected() {
  bufferevent* buffer = evhttp_connection_get_bufferevent(m_connection);
  if (!m_over && !HasPeer(bufferevent_getfd(buffer))) {
    Fail(Error(ErrorCode::kUnavailable, "no connection to " +
                                            m_request.m_endpoint.m_id.value() +
                                            " within the connect timeout"));
  }
}

int EventHttpExchange::OnHead(evhttp_request* request, void* self) {
  const auto exchange =
      static_cast<EventHttpExchange*>(self)->shared_from_this();
  exchange->m_connect_timer.reset();
  DisableNagle(bufferevent_getfd(
      evhttp_connection_get_bufferevent(exchange->m_connection)));
  if (!exchange->m_over && exchange->m_events.m_head) {
    exchange->m_events.m_head(ReadHead(request));
  }
  return 0;
}

void EventHttpExchange::OnBytes(evhttp_request* request, void* self) {
  const auto exchange =
      static_cast<EventHttpExchange*>(self)->shared_from_this();
  evbuffer* input = evhttp_request_get_input_buffer(request);
  const std::size_t size = evbuffer_get_length(input);
  if (exchange->m_over || !exchange->m_events.m_bytes || size == 0) {
    return;
  }
  const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  exchange->m_events.m_bytes(std::string_view(bytes, size));
}

void EventHttpExchange::OnError(evhttp_request_error error, void* self) {
  static_cast<EventHttpExchange*>(self)->m_error = error;
}

void EventHttpExchange::OnComplete(evhttp_request* request, void* self) {
  static_cast<EventHttpExchange*>(self)->shared_from_this()->Complete(request);
}

void EventHttpExchange::Complete(evhttp_request* request) {
  if (m_over) {
    return;
  }
  if (request == nullptr) {
    Fail(FailureOf(m_error));
    return;
  }
  if (evhttp_request_get_response_code(request) == 0) {
    Fail(Error(ErrorCode::kUnavailable,
               m_request.m_endpoint.m_id.value() + " cannot be reached"));
    return;
  }
  m_over = true;
  m_connect_timer.reset();
  if (m_request.m_fresh_connection) {
    m_client.Discard(m_connection);
  } else {
    m_client.Release(m_request.m_endpoint, m_connection);
  }
  m_client.Finish(shared_from_this());
  const CallEvents events = std::move(m_events);
  if (events.m_done) {
    events.m_done();
  }
}

Error EventHttpExchange::FailureOf(evhttp_request_error error) const {
  const std::string& name = m_request.m_endpoint.m_id.value();
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      return {ErrorCode::kTimedOut, name + " was silent for too long"};
    case EVREQ_HTTP_INVALID_HEADER:
    case EVREQ_HTTP_BUFFER_ERROR:
    case EVREQ_HTTP_DATA_TOO_LONG:
      return {ErrorCode::kProtocol, name + " did not answer in valid HTTP"};
    case EVREQ_HTTP_EOF:
    case EVREQ_HTTP_REQUEST_CANCEL:
      break;
  }
  return {ErrorCode::kOutcomeUnknown,
          name + " closed the connection before the answer was whole"};
}

void EventHttpExchange::Fail(const Error& error) {
  if (m_over) {
    return;
  }
  const auto keep_alive = shared_from_this();
  m_over = true;
  m_connect_timer.reset();
  m_client.Discard(m_connection);
  m_client.Finish(keep_alive);
  const CallEvents events = std::move(m_events);
  if (events.m_failed) {
    events.m_failed(error);
  }
}

void EventHttpExchange::Cancel() {
  if (m_over) {
    return;
  }
  m_over = true;
  m_connect_timer.reset();
  m_client.Discard(m_connection);
  m_client.Finish(shared_from_this());
}

void EventHttpExchange::Pause() {
  m_paused = true;
  // evhttp turns reading on again after the current callback, so reading is
  // turned off from a later one.
  m_client.m_loop.Post([self = shared_from_this()] {
    if (self->m_paused && !self->m_over) {
      bufferevent_disable(evhttp_connection_get_bufferevent(self->m_connection),
                          EV_READ);
    }
  });
}

void EventHttpExchange::Resume() {
  m_paused = false;
  if (!m_over) {
    bufferevent_enable(evhttp_connection_get_bufferevent(m_connection),
                       EV_READ);
  }
}

}  // namespace hickoryloft::endpoint
