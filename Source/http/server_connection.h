// A caller's connection to the server.

#ifndef SOURCE_HTTP_SERVER_CONNECTION_H_
#define SOURCE_HTTP_SERVER_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>

#include "base/output_watch.h"
#include "http/message_parser.h"
#include "http/server.h"

struct bufferevent;
struct event;

namespace hickoryloft::http {

class ConnectionExchange;

// Reads one request at a time; a pipelined request stays in the input buffer
// until the response before it is finished. Use on the loop's thread only.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(Server& server, int socket);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Starts reading. Call once, after construction with std::make_shared.
  void Start();

  bool idle() const;
  // Returns the time of the start or of the last response. Precondition:
  // idle().
  MonotonicTime idle_since() const { return m_idle_since; }
  // Whether a request has been read in part.
  bool reading_request() const {
    return m_phase == Phase::kReading && m_parser.started();
  }
  // Responds with `status` without calling the handler, then closes the
  // connection. `fields`: header lines. Precondition: reading_request().
  void RejectWith(int status, std::string_view fields = "");
  // `reason`: for the log line of output that the caller has not read.
  void Close(std::string_view reason);

 private:
  friend class ConnectionExchange;

  enum class Phase { kReading, kAnswering, kLingering, kClosed };

  static void OnReadable(bufferevent* buffer, void* self);
  static void OnDrained(bufferevent* buffer, void* self);
  static void OnEvent(bufferevent* buffer, short what, void* self);
  static void OnTimer(int fd, short what, void* self);

  void OnOutputCheck(const OutputState& output);
  // The caller has acknowledged all output.
  void OnOutputRead();
  void ReadInput();
  void DispatchRequest();
  void RejectInput();
  // Handle the announced size of a body, and its bytes. Set m_body_status if it
  // is rejected.
  void AnnounceBody();
  void AppendBody(std::string_view bytes);
  // Counts `bytes` more of a body of `size` bytes, or rejects it.
  void CountBody(std::size_t bytes, std::size_t size);
  // The body is no longer needed.
  void ReleaseBody();
  void FinishAnswer(bool keep_alive);
  // Sends the remaining output, and discards input until the peer has
  // acknowledged all and had time to close. Input to a closed socket is
  // answered with a reset, which destroys what the peer has not read.
  void BeginLinger();
  // All output has been handed to the system: tells the peer that it ends.
  void EndOutput();
  // Closes the connection without completing the response. `reset`: an orderly
  // close would make the response look complete.
  void AbortAnswer(bool reset);
  void ResetConnection();
  // Logs and counts output that the caller has not read.
  void RecordUnread(std::string_view reason);
  void Release();
  void ArmTimer(Duration delay);
  void SendContinueIfExpected(const HeaderFields& headers);
  void Write(std::string_view bytes);

  Server& m_server;
  bufferevent* m_buffer;
  event* m_timer;
  OutputWatch m_output;
  Phase m_phase = Phase::kReading;
  MonotonicTime m_idle_since;
  MessageParser m_parser;
  MessageHead m_head;
  std::string m_body;
  std::size_t m_counted_body_bytes = 0;  // Of the server's count.
  int m_body_status = 0;     // Of the rejection of the body; 0: none.
  std::string m_request_id;  // Of the last request; for logs.
  std::shared_ptr<ConnectionExchange> m_exchange;
};

}  // namespace hickoryloft::http

#endif  // SOURCE_HTTP_SERVER_CONNECTION_H_
