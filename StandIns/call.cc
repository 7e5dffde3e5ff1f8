#include "StandIns/call.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace hickoryloft::standins {

namespace {

std::string MethodName(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "POST";
  }
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

Headers ReadHeaders(evhttp_request* request) {
  Headers headers;
  const evkeyvalq* list = evhttp_request_get_input_headers(request);
  for (const evkeyval* at = list->tqh_first; at != nullptr;
       at = at->next.tqe_next) {
    headers[LowerCase(at->key)] = at->value;
  }
  return headers;
}

std::string ReadBody(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

}  // namespace

Call::Call(evhttp_request* request)
    : m_request(request),
      m_method(MethodName(evhttp_request_get_command(request))),
      m_uri(evhttp_request_get_uri(request)),
      m_path(m_uri.substr(0, m_uri.find('?'))),
      m_body(ReadBody(request)),
      m_headers(ReadHeaders(request)) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  evhttp_connection_set_closecb(connection, &Call::OnConnectionClosed, this);
  // evhttp stops reading while a request is being served. Reading is enabled
  // again to detect that the client closes the connection. This is safe because
  // the clients of the stand-ins do not pipeline requests.
  bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
}

Call::~Call() {
  Drop();
}

std::string Call::Header(const std::string& name) const {
  const auto found = m_headers.find(name);
  return found == m_headers.end() ? "" : found->second;
}

nlohmann::json Call::Json() const {
  auto json = nlohmann::json::parse(m_body, nullptr, false);
  return json.is_discarded() ? nlohmann::json() : json;
}

void Call::Send(int status,
                const nlohmann::json& body,
                const Headers& headers) {
  if (finished()) {
    return;
  }
  AddHeaders(headers);
  AddHeaders({{"Content-Type", "application/json"}});
  evhttp_request* request = Release();
  const std::string text = body.dump();
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, text.data(), text.size());
  evhttp_send_reply(request, status, nullptr, buffer);
  evbuffer_free(buffer);
}

void Call::StartStream(const std::string& content_type,
                       const Headers& headers) {
  if (finished()) {
    return;
  }
  constexpr int kOk = 200;
  AddHeaders(headers);
  AddHeaders({{"Content-Type", content_type}});
  evhttp_send_reply_start(m_request, kOk, nullptr);
}

void Call::SendChunk(const std::string& bytes) {
  if (finished()) {
    return;
  }
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, bytes.data(), bytes.size());
  evhttp_send_reply_chunk(m_request, buffer);
  evbuffer_free(buffer);
}

void Call::EndStream() {
  if (!finished()) {
    evhttp_send_reply_end(Release());
  }
}

void Call::Drop() {
  if (finished()) {
    return;
  }
  evhttp_connection* connection = evhttp_request_get_connection(Release());
  // This frees the request as well.
  evhttp_connection_free(connection);
}

void Call::OnClosed(std::function<void()> callback) {
  m_on_closed = std::move(callback);
}

void Call::OnConnectionClosed(evhttp_connection* /*connection*/, void* self) {
  auto* call = static_cast<Call*>(self);
  evhttp_request* request = std::exchange(call->m_request, nullptr);
  // If the connection failed, evhttp leaves it to the owner to free the
  // request.
  if (request != nullptr && evhttp_request_get_connection(request) == nullptr) {
    evhttp_request_free(request);
  }
  if (const auto on_closed = std::exchange(call->m_on_closed, nullptr)) {
    on_closed();
  }
}

evhttp_request* Call::Release() {
  evhttp_connection_set_closecb(evhttp_request_get_connection(m_request),
                                nullptr, nullptr);
  m_on_closed = nullptr;
  return std::exchange(m_request, nullptr);
}

void Call::AddHeaders(const Headers& headers) {
  evkeyvalq* output = evhttp_request_get_output_headers(m_request);
  for (const auto& [name, value] : headers) {
    evhttp_add_header(output, name.c_str(), value.c_str());
  }
}

}  // namespace hickoryloft::standins
