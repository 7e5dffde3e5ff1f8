#include "tools/bench/relay_baseline.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <memory>

#include "base/error.h"

namespace hickoryloft::tools {

namespace {

void CopyHeaders(const evkeyvalq* from, evkeyvalq* to) {
  for (const evkeyval* field = from->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    const std::string name = field->key;
    if (name != "Connection" && name != "Transfer-Encoding" &&
        name != "Content-Length") {
      evhttp_add_header(to, field->key, field->value);
    }
  }
}

}  // namespace

// One forwarded request. Freed when the target's response ends.
struct RelayBaseline::Exchange {
  RelayBaseline* m_relay = nullptr;
  evhttp_request* m_request = nullptr;  // Null once the caller disconnected.
  evhttp_connection* m_target = nullptr;
};

RelayBaseline::RelayBaseline(EventLoop& loop, const RelaySettings& settings)
    : m_loop(loop), m_settings(settings), m_http(evhttp_new(loop.base())) {
  evhttp_set_gencb(m_http, &OnRequest, this);
  if (evhttp_bind_socket(m_http, settings.m_listen_address.c_str(),
                         settings.m_listen_port) != 0) {
    evhttp_free(m_http);
    throw Error(ErrorCode::kIo, "cannot listen on " +
                                    settings.m_listen_address + ":" +
                                    std::to_string(settings.m_listen_port));
  }
}

RelayBaseline::~RelayBaseline() {
  evhttp_free(m_http);
  for (evhttp_connection* connection : m_idle) {
    evhttp_connection_free(connection);
  }
}

evhttp_connection* RelayBaseline::TakeConnection() {
  if (m_idle.empty()) {
    return evhttp_connection_base_new(m_loop.base(), nullptr,
                                      m_settings.m_target_address.c_str(),
                                      m_settings.m_target_port);
  }
  evhttp_connection* connection = m_idle.back();
  m_idle.pop_back();
  return connection;
}

void RelayBaseline::OnRequest(evhttp_request* request, void* self) {
  static_cast<RelayBaseline*>(self)->Forward(request);
}

void RelayBaseline::Forward(evhttp_request* request) {
  auto exchange = std::make_unique<Exchange>(Exchange{
      .m_relay = this, .m_request = request, .m_target = TakeConnection()});
  evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                &OnClosed, exchange.get());
  evhttp_request* call = evhttp_request_new(&OnDone, exchange.get());
  evhttp_request_set_header_cb(call, &OnHead);
  evhttp_request_set_chunked_cb(call, &OnPiece);
  CopyHeaders(evhttp_request_get_input_headers(request),
              evhttp_request_get_output_headers(call));
  evbuffer_add_buffer(evhttp_request_get_output_buffer(call),
                      evhttp_request_get_input_buffer(request));
  // OnDone() frees it.
  Exchange* owned = exchange.release();
  evhttp_make_request(owned->m_target, call,
                      evhttp_request_get_command(request),
                      evhttp_request_get_uri(request));
}

int RelayBaseline::OnHead(evhttp_request* answer, void* exchange) {
  evhttp_request* request = static_cast<Exchange*>(exchange)->m_request;
  if (request != nullptr) {
    CopyHeaders(evhttp_request_get_input_headers(answer),
                evhttp_request_get_output_headers(request));
    evhttp_send_reply_start(request, evhttp_request_get_response_code(answer),
                            nullptr);
  }
  return 0;
}

void RelayBaseline::OnPiece(evhttp_request* answer, void* exchange) {
  evhttp_request* request = static_cast<Exchange*>(exchange)->m_request;
  if (request != nullptr) {
    evhttp_send_reply_chunk(request, evhttp_request_get_input_buffer(answer));
  }
}

void RelayBaseline::OnDone(evhttp_request* /*answer*/, void* exchange) {
  const std::unique_ptr<Exchange> done(static_cast<Exchange*>(exchange));
  done->m_relay->m_idle.push_back(done->m_target);
  if (done->m_request != nullptr) {
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(done->m_request), nullptr, nullptr);
    evhttp_send_reply_end(done->m_request);
  }
}

void RelayBaseline::OnClosed(evhttp_connection* /*connection*/,
                             void* exchange) {
  auto* left = static_cast<Exchange*>(exchange);
  evhttp_request_free(left->m_request);
  left->m_request = nullptr;
}

}  // namespace hickoryloft::tools
