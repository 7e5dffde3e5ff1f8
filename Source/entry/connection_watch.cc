#include "entry/connection_watch.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <string>
#include <utility>
#include <vector>

#include "entry/problem.h"

namespace hickoryloft::entry {

namespace {

bool IsReleased(bufferevent* buffer) {
  bufferevent_data_cb readable = nullptr;
  bufferevent_data_cb writable = nullptr;
  bufferevent_event_cb event = nullptr;
  void* argument = nullptr;
  bufferevent_getcb(buffer, &readable, &writable, &event, &argument);
  return event == nullptr;
}

// Writes to the socket directly, since evhttp answers complete requests only.
void SendTimeout(int socket) {
  const std::string body =
      FormatProblem({.m_kind = ProblemKind::kRequestTimeout,
                     .m_detail = "the request did not arrive in time"});
  const std::string answer =
      "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
      "Content-Type: application/problem+json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  send(socket, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

}  // namespace

ConnectionWatch::ConnectionWatch(EventLoop& loop,
                                 Duration request_timeout,
                                 std::function<void()> on_released)
    : m_loop(loop),
      m_request_timeout(request_timeout),
      m_on_released(std::move(on_released)),
      m_sweep_timer(loop.Every(kSweepInterval, [this] { Sweep(); })) {}

ConnectionWatch::~ConnectionWatch() {
  for (const auto& [buffer, state] : m_connections) {
    evbuffer_remove_cb(bufferevent_get_input(buffer), &OnInput, state.get());
    bufferevent_decref(buffer);
  }
}

bufferevent* ConnectionWatch::NewBuffer() {
  // Without BEV_OPT_CLOSE_ON_FREE, since evhttp closes the socket itself.
  bufferevent* buffer = bufferevent_socket_new(m_loop.base(), -1, 0);
  if (buffer == nullptr) {
    return nullptr;
  }
  auto state = std::make_unique<ConnectionState>();
  state->m_loop = &m_loop;
  evbuffer_add_cb(bufferevent_get_input(buffer), &OnInput, state.get());
  bufferevent_incref(buffer);
  m_connections.emplace(buffer, std::move(state));
  return buffer;
}

void ConnectionWatch::OnInput(evbuffer* /*input*/,
                              const evbuffer_cb_info* change,
                              void* state) {
  auto* self = static_cast<ConnectionState*>(state);
  if (change->n_added > 0 && !self->m_answering &&
      !self->m_request_started_at) {
    self->m_request_started_at = self->m_loop->Now();
  }
}

bool ConnectionWatch::OnRequest(bufferevent* buffer) {
  const auto found = m_connections.find(buffer);
  if (found == m_connections.end()) {
    return false;
  }
  ConnectionState& state = *found->second;
  state.m_answering = true;
  state.m_request_started_at.reset();
  return !std::exchange(state.m_had_request, true);
}

void ConnectionWatch::OnAnswered(bufferevent* buffer) {
  const auto found = m_connections.find(buffer);
  if (found == m_connections.end()) {
    return;
  }
  ConnectionState& state = *found->second;
  state.m_answering = false;
  if (evbuffer_get_length(bufferevent_get_input(buffer)) > 0) {
    state.m_request_started_at = m_loop.Now();
  }
}

void ConnectionWatch::Sweep() {
  const MonotonicTime now = m_loop.Now();
  std::vector<bufferevent*> released;
  std::vector<bufferevent*> slow;
  for (const auto& [buffer, state] : m_connections) {
    if (IsReleased(buffer)) {
      released.push_back(buffer);
    } else if (state->m_request_started_at &&
               now - *state->m_request_started_at > m_request_timeout) {
      slow.push_back(buffer);
    }
  }
  for (bufferevent* buffer : slow) {
    m_connections.at(buffer)->m_request_started_at.reset();
    SendTimeout(bufferevent_getfd(buffer));
    bufferevent_trigger_event(buffer, BEV_EVENT_TIMEOUT | BEV_EVENT_READING, 0);
  }
  for (bufferevent* buffer : released) {
    const auto found = m_connections.find(buffer);
    evbuffer_remove_cb(bufferevent_get_input(buffer), &OnInput,
                       found->second.get());
    m_connections.erase(found);
    bufferevent_decref(buffer);
  }
  if (!released.empty()) {
    m_on_released();
  }
}

}  // namespace hickoryloft::entry
