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
  evhttp_request* m_caller_request = nullptr;  // Null after a disconnect.
  evhttp_connection* m_target_connection = nullptr;
};

RelayBaseline::RelayBaseline(EventLoop& loop, const RelaySettings& settings)
    : m_loop(loop), m_settings(settings), m_server(evhttp_new(loop.base())) {
  evhttp_set_gencb(m_server, &OnRequest, this);
  if (evhttp_bind_socket(m_server, settings.m_listen_address.c_str(),
                         settings.m_listen_port) != 0) {
    evhttp_free(m_server);
    throw Error(ErrorCode::kIo, "cannot listen on " +
                                    settings.m_listen_address + ":" +
                                    std::to_string(settings.m_listen_port));
  }
}

RelayBaseline::~RelayBaseline() {
  evhttp_free(m_server);
  for (evhttp_connection* connection : m_idle_connections) {
    evhttp_connection_free(connection);
  }
}

evhttp_connection* RelayBaseline::AcquireConnection() {
  if (m_idle_connections.empty()) {
    return evhttp_connection_base_new(m_loop.base(), nullptr,
                                      m_settings.m_target_address.c_str(),
                                      m_settings.m_target_port);
  }
  evhttp_connection* connection = m_idle_connections.back();
  m_idle_connections.pop_back();
  return connection;
}

void RelayBaseline::OnRequest(evhttp_request* request, void* self) {
  static_cast<RelayBaseline*>(self)->Forward(request);
}

void RelayBaseline::Forward(evhttp_request* request) {
  auto exchange = std::make_unique<Exchange>(
      Exchange{.m_relay = this,
               .m_caller_request = request,
               .m_target_connection = AcquireConnection()});
  evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                &OnCallerDisconnected, exchange.get());
  evhttp_request* target_request =
      evhttp_request_new(&OnResponseEnd, exchange.get());
  evhttp_request_set_header_cb(target_request, &OnResponseHeaders);
  evhttp_request_set_chunked_cb(target_request, &OnResponseChunk);
  CopyHeaders(evhttp_request_get_input_headers(request),
              evhttp_request_get_output_headers(target_request));
  evbuffer_add_buffer(evhttp_request_get_output_buffer(target_request),
                      evhttp_request_get_input_buffer(request));
  // OnResponseEnd() frees it.
  Exchange* owned = exchange.release();
  evhttp_make_request(owned->m_target_connection, target_request,
                      evhttp_request_get_command(request),
                      evhttp_request_get_uri(request));
}

int RelayBaseline::OnResponseHeaders(evhttp_request* response, void* exchange) {
  evhttp_request* request = static_cast<Exchange*>(exchange)->m_caller_request;
  if (request != nullptr) {
    CopyHeaders(evhttp_request_get_input_headers(response),
                evhttp_request_get_output_headers(request));
    evhttp_send_reply_start(request, evhttp_request_get_response_code(response),
                            nullptr);
  }
  return 0;
}

void RelayBaseline::OnResponseChunk(evhttp_request* response, void* exchange) {
  evhttp_request* request = static_cast<Exchange*>(exchange)->m_caller_request;
  if (request != nullptr) {
    evhttp_send_reply_chunk(request, evhttp_request_get_input_buffer(response));
  }
}

void RelayBaseline::OnResponseEnd(evhttp_request* /*response*/,
                                  void* exchange) {
  const std::unique_ptr<Exchange> done(static_cast<Exchange*>(exchange));
  done->m_relay->m_idle_connections.push_back(done->m_target_connection);
  if (done->m_caller_request != nullptr) {
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(done->m_caller_request), nullptr,
        nullptr);
    evhttp_send_reply_end(done->m_caller_request);
  }
}

void RelayBaseline::OnCallerDisconnected(evhttp_connection* /*connection*/,
                                         void* exchange) {
  auto* closed_exchange = static_cast<Exchange*>(exchange);
  evhttp_request_free(closed_exchange->m_caller_request);
  closed_exchange->m_caller_request = nullptr;
}

}  // namespace hickoryloft::tools
