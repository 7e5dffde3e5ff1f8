// One request of a caller and the response to it.

#ifndef SOURCE_HTTP_SERVER_EXCHANGE_H_
#define SOURCE_HTTP_SERVER_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/shared_bytes.h"
#include "base/time.h"
#include "http/header_fields.h"

namespace hickoryloft::http {

struct ServerRequest {
  std::string m_method;
  std::string m_target;
  HeaderFields m_headers;
  SharedBytes m_body;
  MonotonicTime m_received_at;  // When the last byte was read.
};

// Shared by the connection and the handler. Calls have no effect after the
// caller has disconnected. Use on the loop's thread only.
class ServerExchange {
 public:
  virtual ~ServerExchange() = default;

  virtual const ServerRequest& request() const = 0;

  // Names the request in the connection's log lines.
  virtual void SetLogId(const std::string& id) = 0;

  // Sends a complete response. Precondition: no response has been started.
  virtual void Answer(int status,
                      const HeaderFields& headers,
                      std::string_view body) = 0;

  // Starts a response whose body is sent with SendBody(): `length` bytes, or
  // chunked if `length` is absent. Precondition: no response has been started.
  virtual void StartAnswer(int status,
                           const HeaderFields& headers,
                           std::optional<std::uint64_t> length) = 0;
  virtual void SendBody(std::string_view bytes) = 0;
  virtual void FinishAnswer() = 0;

  // Closes the connection after the output written so far, so that the response
  // does not look complete.
  virtual void Abort() = 0;

  // Returns the number of bytes written that have not been sent to the caller.
  virtual std::size_t PendingBytes() const = 0;
  // False once the response is finished or the caller has disconnected.
  virtual bool open() const = 0;

  // Sets callbacks: `on_disconnect` is called once if the caller closes the
  // connection before the response is finished, `on_drained` each time that all
  // pending bytes have been sent.
  virtual void Watch(std::function<void()> on_disconnect,
                     std::function<void()> on_drained) = 0;
};

}  // namespace hickoryloft::http

#endif  // SOURCE_HTTP_SERVER_EXCHANGE_H_
