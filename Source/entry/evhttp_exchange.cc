#include "entry/evhttp_exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include <utility>

#include "entry/caller_server.h"

namespace hickoryloft::entry {

namespace {

// Maximum bytes read ahead from a caller while its request is being answered.
constexpr std::size_t kMaxReadAhead = std::size_t{64} * 1024;

endpoint::HttpMethod ToMethod(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_POST:
      return endpoint::HttpMethod::kPost;
    case EVHTTP_REQ_HEAD:
      return endpoint::HttpMethod::kHead;
    case EVHTTP_REQ_PUT:
      return endpoint::HttpMethod::kPut;
    case EVHTTP_REQ_DELETE:
      return endpoint::HttpMethod::kDelete;
    case EVHTTP_REQ_PATCH:
      return endpoint::HttpMethod::kPatch;
    default:
      return endpoint::HttpMethod::kGet;
  }
}

std::string ToText(const char* text) {
  return text == nullptr ? std::string() : std::string(text);
}

}  // namespace

CallerRequest ReadCallerRequest(evhttp_request* request,
                                MonotonicTime received_at) {
  CallerRequest content;
  content.m_method = ToMethod(evhttp_request_get_command(request));
  content.m_received_at = received_at;
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  if (uri != nullptr) {
    content.m_path = ToText(evhttp_uri_get_path(uri));
    content.m_query = ToText(evhttp_uri_get_query(uri));
  }
  const evkeyvalq* fields = evhttp_request_get_input_headers(request);
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    content.m_headers.push_back({field->key, field->value});
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  content.m_body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, content.m_body.data(), content.m_body.size());
  return content;
}

EvhttpExchange::EvhttpExchange(CallerServer& server,
                               evhttp_request* request,
                               MonotonicTime received_at)
    : m_server(server),
      m_request(request),
      m_content(ReadCallerRequest(request, received_at)) {
  evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                &OnClosed, this);
  // Keeps reading, without evhttp's parser, to detect a disconnect.
  bufferevent* buffer = Buffer();
  bufferevent_data_cb readable = nullptr;
  bufferevent_data_cb writable = nullptr;
  bufferevent_event_cb event = nullptr;
  void* argument = nullptr;
  bufferevent_getcb(buffer, &readable, &writable, &event, &argument);
  bufferevent_setcb(buffer, nullptr, writable, event, argument);
  bufferevent_setwatermark(buffer, EV_READ, 0, kMaxReadAhead);
  m_server.SetTimeouts(buffer, /*answering=*/true);
  bufferevent_enable(buffer, EV_READ);
}

bufferevent* EvhttpExchange::Buffer() const {
  return evhttp_connection_get_bufferevent(
      evhttp_request_get_connection(m_request));
}

void EvhttpExchange::AddHeaders(const endpoint::HeaderFields& headers) {
  evkeyvalq* output = evhttp_request_get_output_headers(m_request);
  for (const endpoint::HeaderField& field : headers) {
    evhttp_add_header(output, field.m_name.c_str(), field.m_value.c_str());
  }
  if (m_server.closing()) {
    evhttp_add_header(output, "Connection", "close");
  }
}

evhttp_request* EvhttpExchange::ReleaseRequest() {
  evhttp_request* request = std::exchange(m_request, nullptr);
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr,
                                nullptr);
  evhttp_request_set_on_complete_cb(request, &OnSent, &m_server);
  m_on_drained = nullptr;
  m_on_disconnect = nullptr;
  return request;
}

void EvhttpExchange::Send(int status,
                          const endpoint::HeaderFields& headers,
                          std::string_view body) {
  if (m_request == nullptr) {
    return;
  }
  AddHeaders(headers);
  evbuffer* output = evhttp_request_get_output_buffer(m_request);
  evbuffer_add(output, body.data(), body.size());
  evhttp_request* request = ReleaseRequest();
  evhttp_send_reply(request, status, nullptr, nullptr);
  m_server.RemoveExchange(this);
}

void EvhttpExchange::StartStream(int status,
                                 const endpoint::HeaderFields& headers) {
  if (m_request == nullptr) {
    return;
  }
  AddHeaders(headers);
  evhttp_send_reply_start(m_request, status, nullptr);
}

void EvhttpExchange::SendChunk(std::string_view piece) {
  if (m_request == nullptr) {
    return;
  }
  evbuffer* scratch = m_server.scratch();
  evbuffer_add(scratch, piece.data(), piece.size());
  evhttp_send_reply_chunk_with_cb(m_request, scratch, &OnDrained, this);
  evbuffer_drain(scratch, evbuffer_get_length(scratch));
}

void EvhttpExchange::EndStream() {
  if (m_request == nullptr) {
    return;
  }
  evhttp_request* request = ReleaseRequest();
  evhttp_send_reply_end(request);
  m_server.RemoveExchange(this);
}

std::size_t EvhttpExchange::PendingBytes() const {
  return m_request == nullptr
             ? 0
             : evbuffer_get_length(bufferevent_get_output(Buffer()));
}

void EvhttpExchange::Watch(std::function<void()> on_drained,
                           std::function<void()> on_disconnect) {
  m_on_drained = std::move(on_drained);
  m_on_disconnect = std::move(on_disconnect);
}

void EvhttpExchange::Abort() {
  if (m_request != nullptr) {
    bufferevent_trigger_event(Buffer(), BEV_EVENT_EOF | BEV_EVENT_READING, 0);
  }
}

void EvhttpExchange::OnClosed(evhttp_connection* /*connection*/, void* self) {
  auto* exchange = static_cast<EvhttpExchange*>(self);
  // evhttp has detached the request from the connection and does not free it.
  evhttp_request* request = std::exchange(exchange->m_request, nullptr);
  const auto on_disconnect = std::move(exchange->m_on_disconnect);
  exchange->m_on_drained = nullptr;
  if (request != nullptr) {
    evhttp_request_free(request);
  }
  const auto keep_alive = exchange->m_server.RemoveExchange(exchange);
  if (on_disconnect) {
    on_disconnect();
  }
}

void EvhttpExchange::OnDrained(evhttp_connection* /*connection*/, void* self) {
  // A copy, since the callback may end the exchange.
  const auto on_drained = static_cast<EvhttpExchange*>(self)->m_on_drained;
  if (on_drained) {
    on_drained();
  }
}

void EvhttpExchange::OnSent(evhttp_request* request, void* server) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  bufferevent* buffer = evhttp_connection_get_bufferevent(connection);
  bufferevent_setwatermark(buffer, EV_READ, 0, 0);
  auto* owner = static_cast<CallerServer*>(server);
  owner->SetTimeouts(buffer, /*answering=*/false);
  owner->OnAnswered(buffer);
}

}  // namespace hickoryloft::entry
