// One TCP connection of the inner protocol, with request/reply correlation.

#ifndef SOURCE_WIRE_CONNECTION_H_
#define SOURCE_WIRE_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/error.h"
#include "base/event_loop.h"
#include "base/output_watch.h"
#include "wire/frame.h"

struct bufferevent;

namespace hickoryloft::wire {

// Receives the reply to a request, or the reason why there is none.
using ReplyCallback = std::function<void(Result<EnvelopeT>)>;

// Sends and receives envelopes. Use on the loop's thread only. The connection
// may be destroyed from its own callbacks.
class Connection {
 public:
  struct Callbacks {
    std::function<void()> m_connected;  // Outgoing connections only.
    std::function<void(EnvelopeT)>
        m_message;  // Every envelope that is not a reply to Request().
    std::function<void(const Error&)>
        m_closed;  // Called once; no callback follows it.
  };

  // Takes over an accepted socket.
  static std::shared_ptr<Connection> Accepted(EventLoop& loop,
                                              int socket,
                                              Callbacks callbacks);
  // Starts to connect to `address`, an IP number.
  static std::shared_ptr<Connection> Connect(EventLoop& loop,
                                             const std::string& address,
                                             std::uint16_t port,
                                             Callbacks callbacks);

  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Queues `envelope`. Does nothing once the connection is closed. Throws
  // Error(kFrameTooLarge).
  void Send(const EnvelopeT& envelope);

  // Queues a frame made by EncodeFrame(). Lets a caller encode a message once
  // and send it on several connections.
  void SendFrame(const std::string& frame);

  // Queues `envelope` as a request and calls `callback` once: with the reply;
  // with the failure in a RequestFailed reply; with kTimedOut after `timeout`;
  // or with kOutcomeUnknown if the connection closes first. If the connection
  // is already closed, calls `callback` with kUnavailable at once.
  void Request(EnvelopeT envelope, Duration timeout, ReplyCallback callback);

  // Closes the connection and fails all open requests. m_closed is not called.
  void Close();

  bool open() const { return m_buffer != nullptr; }
  bool connected() const { return m_connected; }
  // Returns the number of bytes queued for sending.
  std::size_t PendingBytes() const;

  std::uint64_t bytes_sent() const { return m_bytes_sent; }
  std::uint64_t bytes_received() const { return m_bytes_received; }
  std::uint64_t messages_sent() const { return m_messages_sent; }
  std::uint64_t messages_received() const { return m_messages_received; }

  // Public for std::make_shared; use Accepted() or Connect().
  Connection(EventLoop& loop, bufferevent* buffer, Callbacks callbacks);

 private:
  struct PendingRequest {
    ReplyCallback m_callback;
    std::unique_ptr<Timer> m_timeout;
  };

  static std::shared_ptr<Connection> Make(EventLoop& loop,
                                          int socket,
                                          Callbacks callbacks);
  static void OnReadable(bufferevent* buffer, void* self);
  static void OnEvent(bufferevent* buffer, short what, void* self);

  // The socket is connected.
  void BeginWatch();
  void ReadFrames();
  bool ReadFrame();
  void Dispatch(EnvelopeT envelope);
  void CompleteRequest(std::uint64_t correlation, Result<EnvelopeT> result);
  void Fail(const Error& error);
  void ReleaseBuffer();
  void FailPending(const Error& error);

  EventLoop& m_loop;
  bufferevent* m_buffer;
  OutputWatch m_output;
  Callbacks m_callbacks;
  std::weak_ptr<Connection> m_self;
  bool m_connected = false;
  std::uint64_t m_next_correlation = 1;
  std::unordered_map<std::uint64_t, PendingRequest> m_pending;
  std::uint64_t m_bytes_sent = 0;
  std::uint64_t m_bytes_received = 0;
  std::uint64_t m_messages_sent = 0;
  std::uint64_t m_messages_received = 0;
};

}  // namespace hickoryloft::wire

#endif  // SOURCE_WIRE_CONNECTION_H_
