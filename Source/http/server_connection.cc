#include "http/server_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "base/log.h"
#include "base/socket_options.h"
#include "http/connection_exchange.h"

namespace hickoryloft::http {

namespace {

// Input that is buffered per connection while a request is being answered.
constexpr std::size_t kMaxPendingInputBytes = std::size_t{64} * 1024;
// Time for the peer to close after it has acknowledged the end of the output.
constexpr Duration kLingerTimeout = seconds(1);

constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
// Streams, which hold bodies for longest, end within seconds.
constexpr std::string_view kBodyRetryAfter = "Retry-After: 1\r\n";

const Logger kLog("callers");

}  // namespace

ServerConnection::ServerConnection(Server& server, int socket)
    : m_server(server),
      m_buffer(bufferevent_socket_new(server.m_loop.base(),
                                      socket,
                                      BEV_OPT_CLOSE_ON_FREE)),
      m_timer(event_new(server.m_loop.base(), -1, 0, &OnTimer, this)),
      m_output(server.m_loop,
               [this](const OutputState& output) { OnOutputCheck(output); }),
      m_parser(MessageType::kRequest,
               server.m_limits.m_max_head_bytes,
               {.m_head =
                    [this](MessageHead&& head) {
                      m_head = std::move(head);
                      AnnounceBody();
                    },
                .m_body = [this](std::string_view bytes) { AppendBody(bytes); },
                .m_end = [] {}}) {
  DisableNagle(socket);
  DetectDeadPeer(socket);
}

ServerConnection::~ServerConnection() {
  Release();
  event_free(m_timer);
}

void ServerConnection::Start() {
  bufferevent_setcb(m_buffer, &OnReadable, &OnDrained, &OnEvent, this);
  bufferevent_setwatermark(m_buffer, EV_READ, 0, kMaxPendingInputBytes);
  bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
  m_output.Start(m_buffer);
  m_idle_since = m_server.m_loop.Now();
  ArmTimer(m_server.m_limits.m_idle_timeout);
}

bool ServerConnection::idle() const {
  return m_phase == Phase::kReading && !m_parser.started() &&
         (!m_output.checking() || m_output.Unacknowledged() == 0);
}

void ServerConnection::ArmTimer(Duration delay) {
  const timeval value = ToTimeval(delay);
  event_add(m_timer, &value);
}

void ServerConnection::Write(std::string_view bytes) {
  if (m_buffer != nullptr && !bytes.empty()) {
    bufferevent_write(m_buffer, bytes.data(), bytes.size());
    m_output.AddOutput(bytes.size());
  }
}

void ServerConnection::SendContinueIfExpected(const HeaderFields& headers) {
  const std::string* expectation = FindHeader(headers, "Expect");
  if (expectation != nullptr && SameName(*expectation, "100-continue")) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ServerConnection::OnReadable(bufferevent* /*buffer*/, void* self) {
  // Keeps the connection alive if it is closed in ReadInput().
  const auto connection =
      static_cast<ServerConnection*>(self)->shared_from_this();
  connection->ReadInput();
}

void ServerConnection::ReadInput() {
  evbuffer* input =
      m_buffer == nullptr ? nullptr : bufferevent_get_input(m_buffer);
  while (m_phase == Phase::kReading && evbuffer_get_length(input) > 0) {
    const bool started = m_parser.started();
    evbuffer_iovec piece{};
    evbuffer_peek(input, -1, nullptr, &piece, 1);
    const std::size_t parsed = m_parser.Feed(
        {static_cast<const char*>(piece.iov_base), piece.iov_len});
    evbuffer_drain(input, parsed);
    if (!started) {
      ArmTimer(m_server.m_limits.m_head_timeout);
    } else if (m_parser.head_done()) {
      ArmTimer(m_server.m_limits.m_idle_timeout);
    }
    if (m_parser.error() != ParseError::kNone || m_body_status != 0) {
      RejectInput();
    } else if (m_parser.complete()) {
      DispatchRequest();
    }
  }
  if (m_phase == Phase::kLingering) {
    evbuffer_drain(input, evbuffer_get_length(input));
  }
}

void ServerConnection::AnnounceBody() {
  const std::size_t size = m_head.m_content_length.value_or(0);
  if (size > m_server.m_limits.m_max_body_bytes) {
    m_body_status = kTooLarge;
    return;
  }
  CountBody(size, size);
  if (m_body_status == 0) {
    m_body.reserve(size);
    SendContinueIfExpected(m_head.m_headers);
  }
}

void ServerConnection::AppendBody(std::string_view bytes) {
  const std::size_t size = m_body.size() + bytes.size();
  if (size > m_server.m_limits.m_max_body_bytes) {
    m_body_status = kTooLarge;
  } else if (!m_head.m_content_length && m_body_status == 0) {
    CountBody(bytes.size(), size);
  }
  if (m_body_status == 0) {
    m_body.append(bytes);
  }
}

void ServerConnection::CountBody(std::size_t bytes, std::size_t size) {
  const std::size_t limit = m_server.BodyLimitFor(size);
  const std::size_t used = m_server.m_body_bytes;
  if (used <= limit && bytes <= limit - used) {
    m_server.m_body_bytes += bytes;
    m_counted_body_bytes += bytes;
    return;
  }
  ++m_server.m_bodies_rejected;
  m_body_status = size > limit ? kTooLarge : kUnavailable;
  kLog.Warn(
      "rejecting a request; the bodies of all requests need too much memory",
      {{"status", m_body_status},
       {"bytes", static_cast<std::uint64_t>(size)},
       {"reason", "bodies use " + std::to_string(used) + " of " +
                      std::to_string(limit) + " bytes"}});
}

void ServerConnection::ReleaseBody() {
  m_server.m_body_bytes -= std::exchange(m_counted_body_bytes, 0);
}

void ServerConnection::RejectInput() {
  if (m_body_status == kUnavailable) {
    RejectWith(kUnavailable, kBodyRetryAfter);
  } else if (m_body_status != 0) {
    RejectWith(m_body_status);
  } else if (m_parser.error() == ParseError::kHeadTooLarge) {
    RejectWith(431);
  } else {
    RejectWith(400);
  }
}

void ServerConnection::RejectWith(int status, std::string_view fields) {
  std::string answer = "HTTP/1.1 " + std::to_string(status) + ' ';
  answer.append(ReasonPhrase(status));
  answer.append("\r\n").append(fields);
  answer.append("Content-Length: 0\r\nConnection: close\r\n\r\n");
  Write(answer);
  m_body = {};
  ReleaseBody();
  BeginLinger();
}

void ServerConnection::DispatchRequest() {
  event_del(m_timer);
  m_phase = Phase::kAnswering;
  m_request_id.clear();
  ServerRequest request{.m_method = std::move(m_head.m_method),
                        .m_target = std::move(m_head.m_target),
                        .m_headers = std::move(m_head.m_headers),
                        .m_body = std::exchange(m_body, {}),
                        .m_received_at = m_server.m_loop.Now()};
  m_exchange =
      std::make_shared<ConnectionExchange>(*this, std::move(request), m_head);
  m_server.m_handler(m_exchange);
}

void ServerConnection::FinishAnswer(bool keep_alive) {
  const auto exchange = std::exchange(m_exchange, nullptr);
  exchange->Detach(/*caller_disconnected=*/false);
  ReleaseBody();
  if (!keep_alive || m_server.draining()) {
    BeginLinger();
    return;
  }
  m_parser.Reset();
  m_phase = Phase::kReading;
  m_idle_since = m_server.m_loop.Now();
  ArmTimer(m_server.m_limits.m_idle_timeout);
  if (evbuffer_get_length(bufferevent_get_input(m_buffer)) > 0) {
    // Reads a pipelined request in a later loop iteration, so that its handler
    // does not run inside the handler of the request before it.
    bufferevent_trigger(m_buffer, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
  }
}

void ServerConnection::BeginLinger() {
  m_phase = Phase::kLingering;
  // Until the peer has acknowledged all, OnOutputCheck() bounds the time.
  event_del(m_timer);
  if (evbuffer_get_length(bufferevent_get_output(m_buffer)) == 0) {
    EndOutput();
  }
}

void ServerConnection::EndOutput() {
  shutdown(bufferevent_getfd(m_buffer), SHUT_WR);
  m_output.AddOutput(OutputWatch::kEndBytes);
}

void ServerConnection::OnDrained(bufferevent* /*buffer*/, void* self) {
  const auto connection =
      static_cast<ServerConnection*>(self)->shared_from_this();
  if (connection->m_phase == Phase::kLingering) {
    connection->EndOutput();
  } else if (const auto exchange = connection->m_exchange) {
    exchange->NotifyDrained();
  }
}

void ServerConnection::OnEvent(bufferevent* /*buffer*/,
                               short what,
                               void* self) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    const auto connection =
        static_cast<ServerConnection*>(self)->shared_from_this();
    connection->Close((what & BEV_EVENT_EOF) != 0
                          ? "the caller closed the connection"
                          : std::strerror(EVUTIL_SOCKET_ERROR()));
  }
}

void ServerConnection::OnTimer(int /*fd*/, short /*what*/, void* self) {
  const auto connection =
      static_cast<ServerConnection*>(self)->shared_from_this();
  if (connection->reading_request()) {
    connection->RejectWith(408);
    return;
  }
  if (connection->m_phase == Phase::kReading &&
      connection->m_output.checking()) {
    return;  // The idle time starts when the last answer has been read.
  }
  connection->Close("the time for the connection is over");
}

void ServerConnection::OnOutputCheck(const OutputState& output) {
  const auto connection = shared_from_this();
  if (output.m_peer_gone) {
    Close("the caller acknowledges nothing");
  } else if (m_phase == Phase::kAnswering) {
    return;  // The request's deadline bounds the time.
  } else if (output.m_unacknowledged == 0) {
    OnOutputRead();
  } else if (output.m_stalled_for >= m_server.m_limits.m_idle_timeout) {
    Close("the caller reads nothing");
  }
}

void ServerConnection::OnOutputRead() {
  if (m_phase == Phase::kLingering) {
    ArmTimer(kLingerTimeout);
  } else if (!reading_request()) {
    ArmTimer(m_server.m_limits.m_idle_timeout);
  }
}

void ServerConnection::RecordUnread(std::string_view reason) {
  const std::size_t unread = m_output.Unacknowledged();
  if (unread == 0) {
    return;
  }
  ++m_server.m_unread_answers;
  kLog.Warn("closing a connection before its caller has read the answer",
            {{"id", m_request_id},
             {"bytes", static_cast<std::uint64_t>(unread)},
             {"reason", reason}});
}

void ServerConnection::Close(std::string_view reason) {
  if (m_phase == Phase::kClosed) {
    return;
  }
  RecordUnread(reason);
  m_phase = Phase::kClosed;
  ReleaseBody();
  Release();
  const auto connection = shared_from_this();
  m_server.RemoveConnection(connection);
  if (const auto exchange = std::exchange(m_exchange, nullptr)) {
    exchange->Detach(/*caller_disconnected=*/true);
  }
}

void ServerConnection::AbortAnswer(bool reset) {
  m_exchange->Detach(/*caller_disconnected=*/false);
  m_exchange.reset();
  ReleaseBody();
  if (reset) {
    ResetConnection();
    return;
  }
  // The caller still receives the output written so far. Without the last
  // chunk, or with fewer bytes than Content-Length, it can tell that the
  // response is incomplete.
  BeginLinger();
}

void ServerConnection::ResetConnection() {
  const linger discard{.l_onoff = 1, .l_linger = 0};
  if (setsockopt(bufferevent_getfd(m_buffer), SOL_SOCKET, SO_LINGER, &discard,
                 sizeof(discard)) != 0) {
    kLog.Error("cannot reset the connection of a caller; closing it",
               {{"reason", std::strerror(errno)}});
  }
  Close("the answer was aborted");
}

void ServerConnection::Release() {
  event_del(m_timer);
  m_output.Stop();
  if (m_buffer != nullptr) {
    bufferevent_free(std::exchange(m_buffer, nullptr));
  }
}

}  // namespace hickoryloft::http
