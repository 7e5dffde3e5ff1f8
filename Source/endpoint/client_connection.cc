#include "endpoint/client_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/hashing.h"
#include "base/log.h"
#include "base/socket_address.h"
#include "base/socket_options.h"

namespace hickoryloft::endpoint {

namespace {

constexpr std::size_t kMaxAnswerHeadBytes = std::size_t{64} * 1024;
// Response bytes that are buffered in the process while reading is paused.
constexpr std::size_t kMaxPendingInputBytes = std::size_t{256} * 1024;
// How long an idle connection is kept if the endpoint's response has no
// Keep-Alive timeout.
constexpr Duration kDefaultKeepAliveTimeout = seconds(30);
// An idle connection is no longer used this long before the endpoint closes it,
// so that a request is not sent while the endpoint is closing.
constexpr Duration kKeepAliveMargin = milliseconds(700);
// Limit on the calls with an id that one connection carries, because it
// remembers all of their ids.
constexpr std::size_t kMaxCarriedIds = 1000;
// A body of this size is written without a copy.
constexpr std::size_t kMinSharedBodyBytes = std::size_t{16} * 1024;
// A faulty endpoint may send an id of any length.
constexpr std::size_t kMaxLoggedIdLength = 64;

const Logger kLog("endpoint");

constexpr std::string_view MethodName(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return "GET";
    case HttpMethod::kHead:
      return "HEAD";
    case HttpMethod::kPost:
      return "POST";
    case HttpMethod::kPut:
      return "PUT";
    case HttpMethod::kDelete:
      return "DELETE";
    case HttpMethod::kPatch:
      return "PATCH";
  }
  return "GET";
}

bool EndsWithConnection(const http::MessageHead& head) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return !head.m_chunked && !head.m_content_length &&
         head.m_status != kNoContent && head.m_status != kNotModified;
}

Duration KeepAliveTimeout(const http::HeaderFields& headers) {
  const std::string* field = http::FindHeader(headers, "Keep-Alive");
  if (field == nullptr) {
    return kDefaultKeepAliveTimeout;
  }
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = field->find(kTimeout);
  std::int64_t value = 0;
  if (at == std::string::npos ||
      std::from_chars(field->data() + at + kTimeout.size(),
                      field->data() + field->size(), value)
              .ec != std::errc{}) {
    return kDefaultKeepAliveTimeout;
  }
  return seconds(value) - kKeepAliveMargin;
}

// Writes `bytes`, which the buffer shares until they have been sent.
void WriteWithoutCopy(bufferevent* buffer, const SharedBytes& bytes) {
  auto* owner = new SharedBytes(bytes);
  const auto release = [](const void* /*data*/, std::size_t /*size*/,
                          void* owned) {
    delete static_cast<SharedBytes*>(owned);
  };
  evbuffer_add_reference(bufferevent_get_output(buffer), owner->text().data(),
                         owner->size(), release, owner);
}

}  // namespace

ClientConnection::ClientConnection(EventLoop& loop,
                                   EndpointAddress endpoint,
                                   std::uint64_t number,
                                   OwnerEvents owner)
    : m_loop(loop),
      m_endpoint(std::move(endpoint)),
      m_number(number),
      m_owner(std::move(owner)),
      m_timer(event_new(loop.base(), -1, 0, &OnTimer, this)),
      m_output(loop,
               [this](const OutputState& output) { OnOutputCheck(output); }),
      m_parser(
          http::MessageType::kResponse,
          kMaxAnswerHeadBytes,
          {.m_head =
               [this](http::MessageHead&& head) {
                 HandleHead(std::move(head));
               },
           .m_body =
               [this](std::string_view bytes) {
                 if (!m_skip_response && !m_echo_error && m_events.m_bytes) {
                   m_events.m_bytes(bytes);
                 }
               },
           .m_end = [] {}}) {}

ClientConnection::~ClientConnection() {
  Release();
  event_free(m_timer);
}

bool ClientConnection::usable(MonotonicTime now) const {
  return m_buffer != nullptr && m_reusable && !m_running &&
         now < m_idle_until && m_carried_ids.size() < kMaxCarriedIds;
}

bool ClientConnection::MayCarry(const std::string& id) const {
  return id.empty() || std::find(m_carried_ids.begin(), m_carried_ids.end(),
                                 StableHash(id)) == m_carried_ids.end();
}

void ClientConnection::ArmTimer(Duration delay) {
  const timeval value = ToTimeval(delay);
  event_add(m_timer, &value);
}

void ClientConnection::Start(CallRequest request, CallEvents events) {
  m_request = std::move(request);
  // The endpoint at an address may have changed.
  m_endpoint = m_request->m_endpoint;
  m_events = std::move(events);
  m_running = true;
  m_skip_response = false;
  m_echo_error.reset();
  if (!m_request->m_echo.m_value.empty()) {
    m_carried_ids.push_back(StableHash(m_request->m_echo.m_value));
  }
  if (m_buffer != nullptr) {
    ++m_earlier_calls;
    m_parser.Reset();
    WriteRequest();
    return;
  }
  if (!Connect()) {
    m_loop.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock(); self && self->m_running) {
        self->Fail(self->MakeError(ErrorCode::kUnavailable,
                                   "the connection could not be started"));
      }
    });
  }
}

bool ClientConnection::Connect() {
  const SocketAddress target =
      ParseSocketAddress(m_endpoint.m_address, m_endpoint.m_port);
  m_buffer = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(m_buffer, &OnReadable, nullptr, &OnEvent, this);
  bufferevent_setwatermark(m_buffer, EV_READ, 0, kMaxPendingInputBytes);
  bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
  ArmTimer(m_request->m_connect_timeout.value_or(kDefaultConnectTimeout));
  return bufferevent_socket_connect(m_buffer, target.get(), target.size()) == 0;
}

void ClientConnection::WriteRequest() {
  const CallRequest& request = *m_request;
  std::string text;
  const bool share_body = request.m_body.size() >= kMinSharedBodyBytes;
  text.reserve(512 + (share_body ? 0 : request.m_body.size()));
  text.append(MethodName(request.m_method)).append(" ");
  text.append(request.m_target).append(" HTTP/1.1\r\n");
  if (http::FindHeader(request.m_headers, "Host") == nullptr) {
    text.append("Host: ").append(m_endpoint.m_address).append(":");
    text.append(std::to_string(m_endpoint.m_port)).append("\r\n");
  }
  for (const HeaderField& field : request.m_headers) {
    text.append(field.m_name).append(": ").append(field.m_value).append("\r\n");
  }
  const bool has_body = request.m_method != HttpMethod::kGet &&
                        request.m_method != HttpMethod::kHead &&
                        request.m_method != HttpMethod::kDelete;
  if (has_body || !request.m_body.empty()) {
    text.append("Content-Length: ");
    text.append(std::to_string(request.m_body.size())).append("\r\n");
  }
  text.append("\r\n");
  if (!share_body) {
    text.append(request.m_body.text());
  }
  bufferevent_write(m_buffer, text.data(), text.size());
  if (share_body) {
    WriteWithoutCopy(m_buffer, request.m_body);
  }
  m_output.AddOutput(text.size() + (share_body ? request.m_body.size() : 0));
  ArmTimer(request.m_idle_timeout);
}

void ClientConnection::OnReadable(bufferevent* /*buffer*/, void* self) {
  const auto connection =
      static_cast<ClientConnection*>(self)->shared_from_this();
  connection->ReadInput();
}

void ClientConnection::ReadInput() {
  if (!m_running) {
    // The endpoint sent bytes while no call was running.
    Release();
    m_owner.m_closed(shared_from_this());
    return;
  }
  ArmTimer(m_request->m_idle_timeout);
  while (m_running && m_buffer != nullptr) {
    evbuffer* input = bufferevent_get_input(m_buffer);
    if (evbuffer_get_length(input) == 0) {
      return;
    }
    evbuffer_iovec piece{};
    evbuffer_peek(input, -1, nullptr, &piece, 1);
    const std::string bytes(static_cast<const char*>(piece.iov_base),
                            piece.iov_len);
    // Drained before parsing, because the call may be cancelled from its own
    // events.
    evbuffer_drain(input, bytes.size());
    const std::size_t parsed = m_parser.Feed(bytes);
    if (m_buffer == nullptr || !m_running) {
      return;
    }
    if (m_parser.error() != http::ParseError::kNone) {
      Fail(MakeError(ErrorCode::kProtocol, "the answer is not HTTP"));
      return;
    }
    if (parsed < bytes.size()) {
      evbuffer_prepend(input, bytes.data() + parsed, bytes.size() - parsed);
    }
    if (m_parser.complete()) {
      CompleteMessage();
    }
  }
}

void ClientConnection::HandleHead(http::MessageHead&& head) {
  const HeaderField& echo = m_request->m_echo;
  m_skip_response = false;
  if (!echo.m_name.empty()) {
    const std::string* value = http::FindHeader(head.m_headers, echo.m_name);
    const bool may_be_extra = m_earlier_calls > 0 || m_skipped;
    if (value == nullptr && !echo.m_value.empty() &&
        (may_be_extra || head.m_status / 100 == 2)) {
      m_echo_error =
          MakeError(ErrorCode::kProtocol, "the answer echoes no request id");
    }
    m_skip_response = value != nullptr && *value != echo.m_value;
    if (m_skip_response) {
      m_skipped = true;
      kLog.Warn("skipping an answer to another request",
                {{"id", echo.m_value},
                 {"answered_id", value->substr(0, kMaxLoggedIdLength)},
                 {"endpoint", m_endpoint.m_id.value()},
                 {"status", head.m_status},
                 {"connection", m_number},
                 {"earlier_calls", m_earlier_calls}});
    }
  }
  m_reusable = m_reusable && head.m_keep_alive && !m_skip_response;
  m_idle_until = m_loop.Now() + KeepAliveTimeout(head.m_headers);
  if (!m_skip_response && !m_echo_error && m_events.m_head) {
    m_events.m_head(
        AnswerHead{.m_status = head.m_status,
                   .m_headers = std::move(head.m_headers),
                   .m_content_length = head.m_content_length,
                   .m_ends_with_connection = EndsWithConnection(head),
                   .m_connection = m_number,
                   .m_earlier_calls = m_earlier_calls});
  }
}

void ClientConnection::CompleteMessage() {
  if (m_skip_response) {
    m_parser.Reset();
    return;
  }
  if (m_echo_error) {
    Fail(*m_echo_error);
    return;
  }
  FinishCall();
}

void ClientConnection::FinishCall() {
  event_del(m_timer);
  m_running = false;
  m_request->m_body = {};
  const auto connection = shared_from_this();
  const auto done = std::exchange(m_events, {}).m_done;
  const bool clean = evbuffer_get_length(bufferevent_get_input(m_buffer)) == 0;
  if (m_reusable && clean) {
    // The call may have been paused.
    bufferevent_enable(m_buffer, EV_READ);
    m_owner.m_idle(connection);
  } else {
    Release();
    m_owner.m_closed(connection);
  }
  if (done) {
    done();
  }
}

void ClientConnection::OnEvent(bufferevent* /*buffer*/,
                               short what,
                               void* self) {
  const auto connection =
      static_cast<ClientConnection*>(self)->shared_from_this();
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    connection->m_connected = true;
    DisableNagle(bufferevent_getfd(connection->m_buffer));
    DetectDeadPeer(bufferevent_getfd(connection->m_buffer));
    connection->m_output.Start(connection->m_buffer);
    connection->WriteRequest();
    return;
  }
  if (connection->m_running && !connection->m_connected) {
    connection->Fail(
        connection->MakeError(ErrorCode::kUnavailable, "connection refused"));
    return;
  }
  const bool ended = (what & BEV_EVENT_EOF) != 0;
  if (connection->m_running && ended && connection->m_parser.FeedEnd() &&
      !connection->m_skip_response) {
    connection->m_reusable = false;
    connection->CompleteMessage();
    return;
  }
  connection->HandleLoss("the connection ended before the answer did");
}

void ClientConnection::OnOutputCheck(const OutputState& output) {
  if (output.m_peer_gone) {
    const auto connection = shared_from_this();
    HandleLoss("it acknowledges nothing");
  }
}

void ClientConnection::HandleLoss(const std::string& reason) {
  if (m_running) {
    Fail(MakeError(ErrorCode::kOutcomeUnknown, reason));
    return;
  }
  const auto connection = shared_from_this();
  Release();
  m_owner.m_closed(connection);
}

void ClientConnection::OnTimer(int /*fd*/, short /*what*/, void* self) {
  const auto connection =
      static_cast<ClientConnection*>(self)->shared_from_this();
  if (!connection->m_running) {
    return;
  }
  if (!connection->m_connected) {
    connection->Fail(connection->MakeError(ErrorCode::kUnavailable,
                                           "no connection in time"));
    return;
  }
  connection->Fail(connection->MakeError(ErrorCode::kTimedOut, "silence"));
}

Error ClientConnection::MakeError(ErrorCode code,
                                  const std::string& what) const {
  return {code, m_endpoint.m_id.value() + " at " + m_endpoint.m_address + ":" +
                    std::to_string(m_endpoint.m_port) + ": " + what};
}

void ClientConnection::Fail(const Error& error) {
  m_running = false;
  const auto connection = shared_from_this();
  const auto failed = std::exchange(m_events, {}).m_failed;
  Release();
  m_owner.m_closed(connection);
  if (failed) {
    failed(error);
  }
}

void ClientConnection::Cancel() {
  if (!m_running) {
    return;
  }
  m_running = false;
  m_events = {};
  const auto connection = shared_from_this();
  Release();
  m_owner.m_closed(connection);
}

void ClientConnection::Pause() {
  if (m_buffer != nullptr && m_running) {
    bufferevent_disable(m_buffer, EV_READ);
    event_del(m_timer);
  }
}

void ClientConnection::Resume() {
  if (m_buffer != nullptr && m_running) {
    bufferevent_enable(m_buffer, EV_READ);
    ArmTimer(m_request->m_idle_timeout);
  }
}

void ClientConnection::Release() {
  event_del(m_timer);
  m_output.Stop();
  if (m_buffer != nullptr) {
    bufferevent_free(std::exchange(m_buffer, nullptr));
  }
}

}  // namespace hickoryloft::endpoint
