// HTTP client for the platform's services, with a bounded pool of keep-alive
// connections to one server and a time limit per call.

#ifndef SOURCE_KEYVALUE_HTTP_CLIENT_H_
#define SOURCE_KEYVALUE_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/event_loop.h"
#include "base/time.h"

namespace hickoryloft::keyvalue {

enum class HttpMethod { kGet, kPost, kPut, kDelete };

struct HttpRequest {
  HttpMethod m_method = HttpMethod::kPost;
  std::string m_path;
  std::string m_body;
  std::vector<std::pair<std::string, std::string>> m_headers;
};

// An answer of any status.
struct HttpReply {
  int m_status = 0;
  std::string m_body;
  std::vector<std::pair<std::string, std::string>> m_headers;

  // Returns the value of header `name`, or "" if there is none. Ignores case.
  std::string Header(const std::string& name) const;
};

struct HttpClientSettings {
  std::string m_address;  // An IP number.
  std::uint16_t m_port = 0;
  std::string m_user_agent;
  Duration m_timeout = seconds(2);  // From Send() to the whole answer.
  std::size_t m_max_connections = 8;
  std::size_t m_max_queued = 1000;  // Calls queued for a connection.
};

// An answer that is reported while it arrives. Destroying it closes its
// connection.
class HttpStream {
 public:
  virtual ~HttpStream() = default;
};

// Calls one server. Callbacks are called later on the loop's thread, at most
// once, and not after the client is destroyed. Failures: kUnavailable (no byte
// of the request was sent, also because too many calls are queued),
// kOutcomeUnknown and kTimedOut (the server may have acted), kProtocol. Use on
// the loop's thread only.
class HttpClient {
 public:
  // Precondition: `loop` outlives the client.
  HttpClient(EventLoop& loop, HttpClientSettings settings);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Send(HttpRequest request,
            std::function<void(Result<HttpReply>)> callback);

  // Reads an answer in chunks on a separate connection. `ended` is called once
  // when the server ends the answer, the connection fails, or nothing arrives
  // for `idle_timeout`.
  std::unique_ptr<HttpStream> Stream(const HttpRequest& request,
                                     Duration idle_timeout,
                                     std::function<void(std::string)> received,
                                     std::function<void(Error)> ended);

 private:
  class Slot;
  struct QueuedCall {
    HttpRequest m_request;
    MonotonicTime m_deadline;
    std::function<void(Result<HttpReply>)> m_callback;
  };

  Slot* FindIdleSlot();
  void StartNext();
  void FailExpired();

  EventLoop& m_loop;
  HttpClientSettings m_settings;
  std::vector<std::unique_ptr<Slot>> m_slots;
  std::deque<QueuedCall> m_queue;
  std::unique_ptr<Timer> m_expiry_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::keyvalue

#endif  // SOURCE_KEYVALUE_HTTP_CLIENT_H_
