// One connection of a caller.

#ifndef SOURCE_HTTP_SERVER_CONNECTION_H_
#define SOURCE_HTTP_SERVER_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>

#include "http/message_parser.h"
#include "http/server.h"

struct bufferevent;
struct event;

namespace hickoryloft::http {

class ConnectionExchange;

// Reads one request at a time; a pipelined one stays in the input until the
// answer before it is finished. Use on the loop's thread only.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(Server& server, int socket);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Starts to read. Call once, after construction by std::make_shared.
  void Start();

  bool idle() const;
  void Close();

 private:
  friend class ConnectionExchange;

  enum class Phase { kReading, kAnswering, kLingering, kClosed };

  static void OnReadable(bufferevent* buffer, void* self);
  static void OnDrained(bufferevent* buffer, void* self);
  static void OnEvent(bufferevent* buffer, short what, void* self);
  static void OnTimer(int fd, short what, void* self);

  void ReadInput();
  void DispatchRequest();
  void RejectInput();
  // Answers without a handler and closes; the request has not been passed on.
  void RejectWith(int status);
  void FinishAnswer(bool keep_alive);
  // Sends what is left, then discards input for a while, so that the peer gets
  // the answer before a reset.
  void BeginLinger();
  // Ends the connection in the middle of the answer.
  void CutAnswer();
  void Release();
  void ArmTimer(Duration delay);
  void ContinueIfAsked(const HeaderFields& headers);
  void Write(std::string_view bytes);

  Server& m_server;
  bufferevent* m_buffer;
  event* m_timer;
  Phase m_phase = Phase::kReading;
  MessageParser m_parser;
  MessageHead m_head;
  std::string m_body;
  bool m_body_too_large = false;
  std::shared_ptr<ConnectionExchange> m_exchange;
};

}  // namespace hickoryloft::http

#endif  // SOURCE_HTTP_SERVER_CONNECTION_H_
