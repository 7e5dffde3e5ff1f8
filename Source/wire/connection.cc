#include "wire/connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include "base/socket_address.h"
#include "base/socket_options.h"

namespace hickoryloft::wire {

Connection::Connection(EventLoop& loop,
                       bufferevent* buffer,
                       Callbacks callbacks)
    : m_loop(loop),
      m_buffer(buffer),
      m_output(loop,
               [this](const OutputState& output) {
                 if (output.m_peer_gone) {
                   Fail(Error(ErrorCode::kOutcomeUnknown,
                              "the peer acknowledges nothing"));
                 }
               }),
      m_callbacks(std::move(callbacks)) {}

Connection::~Connection() {
  ReleaseBuffer();
}

std::shared_ptr<Connection> Connection::Make(EventLoop& loop,
                                             int socket,
                                             Callbacks callbacks) {
  bufferevent* buffer = bufferevent_socket_new(
      loop.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  if (buffer == nullptr) {
    throw Error(ErrorCode::kIo,
                "the event library could not create a connection");
  }
  auto connection =
      std::make_shared<Connection>(loop, buffer, std::move(callbacks));
  connection->m_self = connection;
  bufferevent_setcb(buffer, &Connection::OnReadable, nullptr,
                    &Connection::OnEvent, connection.get());
  return connection;
}

std::shared_ptr<Connection> Connection::Accepted(EventLoop& loop,
                                                 int socket,
                                                 Callbacks callbacks) {
  auto connection = Make(loop, socket, std::move(callbacks));
  connection->BeginWatch();
  bufferevent_enable(connection->m_buffer, EV_READ | EV_WRITE);
  return connection;
}

std::shared_ptr<Connection> Connection::Connect(EventLoop& loop,
                                                const std::string& address,
                                                std::uint16_t port,
                                                Callbacks callbacks) {
  const SocketAddress target = ParseSocketAddress(address, port);
  auto connection = Make(loop, -1, std::move(callbacks));
  bufferevent_enable(connection->m_buffer, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(connection->m_buffer, target.get(),
                                 target.size()) != 0) {
    // Reported from the loop, like a connection that the peer refuses.
    loop.Post([weak = std::weak_ptr<Connection>(connection)] {
      if (const auto self = weak.lock()) {
        self->Fail(Error(ErrorCode::kUnavailable,
                         "the connection could not be started"));
      }
    });
  }
  return connection;
}

void Connection::Send(const EnvelopeT& envelope) {
  if (open()) {
    SendFrame(EncodeFrame(envelope));
  }
}

void Connection::SendFrame(const std::string& frame) {
  if (!open()) {
    return;
  }
  m_bytes_sent += frame.size();
  ++m_messages_sent;
  bufferevent_write(m_buffer, frame.data(), frame.size());
  m_output.AddOutput(frame.size());
}

void Connection::Request(EnvelopeT envelope,
                         Duration timeout,
                         ReplyCallback callback) {
  if (!open()) {
    callback(Error(ErrorCode::kUnavailable, "the connection is closed"));
    return;
  }
  const std::uint64_t correlation = m_next_correlation++;
  envelope.correlation = correlation;
  envelope.is_reply = false;
  PendingRequest pending;
  pending.m_callback = std::move(callback);
  pending.m_timeout = m_loop.After(timeout, [this, correlation] {
    CompleteRequest(correlation, Error(ErrorCode::kTimedOut,
                                       "the peer did not reply in time"));
  });
  m_pending.emplace(correlation, std::move(pending));
  Send(envelope);
}

void Connection::Close() {
  ReleaseBuffer();
  FailPending(Error(ErrorCode::kOutcomeUnknown,
                    "the connection was closed before the reply"));
}

std::size_t Connection::PendingBytes() const {
  return open() ? evbuffer_get_length(bufferevent_get_output(m_buffer)) : 0;
}

void Connection::OnReadable(bufferevent* /*buffer*/, void* self) {
  static_cast<Connection*>(self)->ReadFrames();
}

void Connection::OnEvent(bufferevent* /*buffer*/, short what, void* self) {
  auto* connection = static_cast<Connection*>(self);
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    connection->BeginWatch();
    if (connection->m_callbacks.m_connected) {
      connection->m_callbacks.m_connected();
    }
    return;
  }
  const bool was_connected = connection->m_connected;
  connection->Fail(
      was_connected
          ? Error(ErrorCode::kOutcomeUnknown, "the peer closed the connection")
          : Error(ErrorCode::kUnavailable, "the peer cannot be reached"));
}

void Connection::BeginWatch() {
  const int socket = bufferevent_getfd(m_buffer);
  DisableNagle(socket);
  DetectDeadPeer(socket);
  m_output.Start(m_buffer);
  m_connected = true;
}

void Connection::ReadFrames() {
  const std::shared_ptr<Connection> keep_alive = m_self.lock();
  try {
    while (open() && ReadFrame()) {
    }
  } catch (const Error& error) {
    Fail(error);
  }
}

bool Connection::ReadFrame() {
  evbuffer* input = bufferevent_get_input(m_buffer);
  std::array<std::uint8_t, kFrameHeaderBytes> header{};
  if (evbuffer_get_length(input) < header.size()) {
    return false;
  }
  evbuffer_copyout(input, header.data(), header.size());
  const std::size_t length = DecodeHeader(header);
  if (evbuffer_get_length(input) < header.size() + length) {
    return false;
  }
  evbuffer_drain(input, header.size());
  std::vector<std::uint8_t> bytes(length);
  evbuffer_remove(input, bytes.data(), length);
  m_bytes_received += header.size() + length;
  ++m_messages_received;
  Dispatch(DecodeEnvelope(bytes));
  return true;
}

void Connection::Dispatch(EnvelopeT envelope) {
  if (!envelope.is_reply) {
    m_callbacks.m_message(std::move(envelope));
    return;
  }
  const std::uint64_t correlation = envelope.correlation;
  if (const RequestFailedT* failed = envelope.body.AsRequestFailed()) {
    CompleteRequest(correlation, ToError(*failed));
    return;
  }
  CompleteRequest(correlation, std::move(envelope));
}

void Connection::CompleteRequest(std::uint64_t correlation,
                                 Result<EnvelopeT> result) {
  const auto found = m_pending.find(correlation);
  if (found == m_pending.end()) {
    return;  // The reply arrived after the timeout.
  }
  const ReplyCallback callback = std::move(found->second.m_callback);
  m_pending.erase(found);
  callback(std::move(result));
}

void Connection::Fail(const Error& error) {
  if (!open()) {
    return;
  }
  const std::shared_ptr<Connection> keep_alive = m_self.lock();
  ReleaseBuffer();
  FailPending(error);
  if (m_callbacks.m_closed) {
    m_callbacks.m_closed(error);
  }
}

void Connection::ReleaseBuffer() {
  m_output.Stop();
  if (m_buffer != nullptr) {
    bufferevent_free(std::exchange(m_buffer, nullptr));
  }
  m_connected = false;
}

void Connection::FailPending(const Error& error) {
  auto pending = std::move(m_pending);
  m_pending.clear();
  for (auto& [correlation, request] : pending) {
    request.m_callback(error);
  }
}

}  // namespace hickoryloft::wire
