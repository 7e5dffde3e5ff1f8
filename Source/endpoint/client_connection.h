// One connection to an endpoint, which carries one call at a time.

#ifndef SOURCE_ENDPOINT_CLIENT_CONNECTION_H_
#define SOURCE_ENDPOINT_CLIENT_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/output_watch.h"
#include "endpoint/http_client.h"
#include "http/message_parser.h"

struct bufferevent;
struct event;

namespace hickoryloft::endpoint {

// Use on the loop's thread only.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  // Callbacks to the owner. m_idle: the call has ended and the connection can
  // carry another one. m_closed: the connection has released its socket and
  // cannot be used again.
  struct OwnerEvents {
    std::function<void(const std::shared_ptr<ClientConnection>&)> m_idle;
    std::function<void(const std::shared_ptr<ClientConnection>&)> m_closed;
  };

  // `number` names the connection in logs.
  ClientConnection(EventLoop& loop,
                   EndpointAddress endpoint,
                   std::uint64_t number,
                   OwnerEvents owner);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  // Starts `request`, after connecting if the connection is new. Preconditions:
  // no call is running; the connection is open or new.
  void Start(CallRequest request, CallEvents events);

  // Cancels the running call without an event and closes the connection.
  void Cancel();
  void Pause();
  void Resume();

  const EndpointAddress& endpoint() const { return m_endpoint; }
  // Whether an idle connection can carry another call.
  bool usable(MonotonicTime now) const;
  // Whether the connection can carry a call whose answer echoes `id`; empty:
  // none. After an earlier call with the same id, an extra answer to that call
  // could not be told from the answer to the new one.
  bool MayCarry(const std::string& id) const;

 private:
  static void OnReadable(bufferevent* buffer, void* self);
  static void OnEvent(bufferevent* buffer, short what, void* self);
  static void OnTimer(int fd, short what, void* self);

  bool Connect();
  void WriteRequest();
  void OnOutputCheck(const OutputState& output);
  // The connection has ended without the end of the call's answer.
  void HandleLoss(const std::string& reason);
  void ReadInput();
  void HandleHead(http::MessageHead&& head);
  void CompleteMessage();
  void FinishCall();
  void Fail(const Error& error);
  void Release();
  void ArmTimer(Duration delay);
  Error MakeError(ErrorCode code, const std::string& what) const;

  EventLoop& m_loop;
  EndpointAddress m_endpoint;
  std::uint64_t m_number;
  OwnerEvents m_owner;
  bufferevent* m_buffer = nullptr;
  event* m_timer;
  OutputWatch m_output;
  bool m_connected = false;
  bool m_running = false;
  // Number of calls that the connection has carried before the current one.
  std::uint64_t m_earlier_calls = 0;
  std::vector<std::uint64_t> m_carried_ids;  // Hashes.
  bool m_reusable = true;
  // Whether the current response belongs to another call.
  bool m_skip_response = false;
  // Whether any response has belonged to another call.
  bool m_skipped = false;
  MonotonicTime m_idle_until;
  std::optional<CallRequest> m_request;
  CallEvents m_events;
  http::MessageParser m_parser;
  std::optional<Error> m_echo_error;
};

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_CLIENT_CONNECTION_H_
