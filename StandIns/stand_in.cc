#include "StandIns/stand_in.h"

#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <limits>

#include "base/error.h"

namespace hickoryloft::standins {

namespace {

constexpr int kOk = 200;

std::uint16_t PortOf(evhttp_bound_socket* bound) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  getsockname(evhttp_bound_socket_get_fd(bound),
              reinterpret_cast<sockaddr*>(&storage), &size);
  return storage.ss_family == AF_INET6
             ? ntohs(reinterpret_cast<sockaddr_in6&>(storage).sin6_port)
             : ntohs(reinterpret_cast<sockaddr_in&>(storage).sin_port);
}

}  // namespace

ListenAddress ParseListenAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  constexpr std::size_t kMaxPortDigits = 5;
  const std::string port =
      colon == std::string::npos ? "" : text.substr(colon + 1);
  const bool digits =
      !port.empty() && port.size() <= kMaxPortDigits &&
      std::all_of(port.begin(), port.end(),
                  [](unsigned char c) { return std::isdigit(c) != 0; });
  if (!digits || std::stoi(port) > std::numeric_limits<std::uint16_t>::max()) {
    throw Error(ErrorCode::kInvalidArgument,
                "address '" + text + "' is not of the form ip:port");
  }
  return {.m_address = text.substr(0, colon),
          .m_port = static_cast<std::uint16_t>(std::stoi(port))};
}

StandIn::StandIn(EventLoop& loop, const ListenAddress& listen)
    : m_loop(loop),
      m_server(evhttp_new(loop.base())),
      m_address(listen.m_address) {
  constexpr int kConnectionTimeoutSeconds = 86400;
  evhttp_set_timeout(m_server, kConnectionTimeoutSeconds);
  evhttp_set_allowed_methods(m_server, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                           EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                           EVHTTP_REQ_PATCH);
  evhttp_set_gencb(m_server, &StandIn::OnRequest, this);
  evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(
      m_server, listen.m_address.c_str(), listen.m_port);
  if (bound == nullptr) {
    evhttp_free(m_server);
    throw Error(ErrorCode::kIo, "cannot listen on " + listen.m_address + ":" +
                                    std::to_string(listen.m_port));
  }
  m_port = PortOf(bound);
}

StandIn::~StandIn() {
  // evhttp_free() frees the requests of open connections without notifying the
  // calls that own them, so the calls are dropped first.
  for (const auto& weak : m_calls) {
    if (const CallPtr call = weak.lock()) {
      call->Drop();
    }
  }
  evhttp_free(m_server);
}

void StandIn::SetFaults(const nlohmann::json& faults) {
  if (faults.contains("delay_ms")) {
    m_delay = milliseconds(faults["delay_ms"].get<std::int64_t>());
  }
  if (faults.contains("freeze_ms")) {
    m_frozen_until =
        m_loop.Now() + milliseconds(faults["freeze_ms"].get<std::int64_t>());
  }
  if (faults.contains("drop_replies")) {
    m_replies_to_drop = faults["drop_replies"].get<std::int64_t>();
  }
  ApplyFaults(faults);
}

bool StandIn::ConsumeDroppedReply() {
  if (m_replies_to_drop <= 0) {
    return false;
  }
  --m_replies_to_drop;
  return true;
}

void StandIn::OnRequest(evhttp_request* request, void* self) {
  auto* server = static_cast<StandIn*>(self);
  const auto call = std::make_shared<Call>(request);
  server->Track(call);
  // Handled in a posted task, because an evhttp callback must not free its own
  // connection.
  server->m_loop.Post([server, alive = std::weak_ptr(server->m_alive), call] {
    if (!alive.expired()) {
      server->HandleAfterDelay(call);
    }
  });
}

void StandIn::Track(const CallPtr& call) {
  constexpr std::size_t kPruneAt = 1024;
  if (m_calls.size() >= kPruneAt) {
    std::erase_if(m_calls, [](const auto& weak) { return weak.expired(); });
  }
  m_calls.push_back(call);
}

void StandIn::HandleAfterDelay(const CallPtr& call) {
  if (call->path() == "/faults" || call->path() == "/record") {
    Dispatch(call);
    return;
  }
  const MonotonicTime now = m_loop.Now();
  const Duration delay =
      std::max(m_delay, std::max(Duration::zero(), m_frozen_until - now));
  if (delay == Duration::zero()) {
    Dispatch(call);
    return;
  }
  m_delayed.insert(call);
  call->KeepTimer(m_loop.After(delay, [this, weak = std::weak_ptr(call)] {
    const CallPtr due = weak.lock();
    m_delayed.erase(due);
    Dispatch(due);
  }));
}

void StandIn::Dispatch(const CallPtr& call) {
  constexpr int kBadRequest = 400;
  try {
    Route(call);
  } catch (const nlohmann::json::exception& error) {
    call->Send(kBadRequest, {{"error", error.what()}});
  } catch (const Error& error) {
    call->Send(kBadRequest, {{"error", error.what()}});
  }
}

void StandIn::Route(const CallPtr& call) {
  if (call->path() == "/record") {
    call->Send(kOk, Record());
  } else if (call->path() == "/faults") {
    SetFaults(call->Json());
    call->Send(kOk, nlohmann::json::object());
  } else {
    Handle(call);
  }
}

}  // namespace hickoryloft::standins
