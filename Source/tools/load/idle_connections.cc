#include "tools/load/idle_connections.h"

#include <event2/http.h>

#include <algorithm>
#include <utility>

namespace hickoryloft::tools {
namespace {

constexpr std::size_t kMaxPendingRequests = 64;
constexpr int kConnectionTimeoutSeconds = 600;
constexpr int kStatusOk = 200;

}  // namespace

IdleConnections::~IdleConnections() {
  for (evhttp_connection* connection : m_connections) {
    evhttp_connection_free(connection);
  }
}

void IdleConnections::Open(std::size_t count,
                           std::vector<endpoint::EndpointAddress> targets,
                           std::function<void()> done) {
  m_count = count;
  m_targets = std::move(targets);
  m_done = std::move(done);
  if (m_count == 0) {
    m_done();
    return;
  }
  for (std::size_t index = 0; index < std::min(m_count, kMaxPendingRequests);
       ++index) {
    OpenNext();
  }
}

void IdleConnections::OpenNext() {
  const endpoint::EndpointAddress& target =
      m_targets[m_connections.size() % m_targets.size()];
  evhttp_connection* connection = evhttp_connection_base_new(
      m_loop.base(), nullptr, target.m_address.c_str(), target.m_port);
  evhttp_connection_set_timeout(connection, kConnectionTimeoutSeconds);
  evhttp_connection_set_retries(connection, 0);
  m_connections.push_back(connection);
  evhttp_request* request = evhttp_request_new(&OnReply, this);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                    target.m_address.c_str());
  evhttp_make_request(connection, request, EVHTTP_REQ_GET, "/healthz");
}

void IdleConnections::OnReply(evhttp_request* request, void* self) {
  const bool answered = request != nullptr &&
                        evhttp_request_get_response_code(request) == kStatusOk;
  static_cast<IdleConnections*>(self)->HandleReply(answered);
}

void IdleConnections::HandleReply(bool answered) {
  ++m_finished_requests;
  m_answered += answered ? 1 : 0;
  if (m_connections.size() < m_count) {
    OpenNext();
    return;
  }
  if (m_finished_requests == m_count) {
    m_done();
  }
}

}  // namespace hickoryloft::tools
