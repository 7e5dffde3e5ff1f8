// One request of a caller and its answer.

#ifndef SOURCE_HTTP_SERVER_EXCHANGE_H_
#define SOURCE_HTTP_SERVER_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/header_fields.h"

namespace hickoryloft::http {

struct ServerRequest {
  std::string m_method;
  std::string m_target;
  HeaderFields m_headers;
  std::string m_body;
  MonotonicTime m_received_at;  // The last byte of the request was read.
};

// Owned jointly by the connection and the handler; calls after the caller has
// left do nothing. Use on the loop's thread only.
class ServerExchange {
 public:
  virtual ~ServerExchange() = default;

  virtual const ServerRequest& request() const = 0;

  // Sends a whole answer. Precondition: no answer has been started.
  virtual void Answer(int status,
                      const HeaderFields& headers,
                      std::string_view body) = 0;

  // Starts an answer whose body follows by SendBody(): of `length` bytes, or
  // in chunks. Precondition: no answer has been started.
  virtual void StartAnswer(int status,
                           const HeaderFields& headers,
                           std::optional<std::uint64_t> length) = 0;
  virtual void SendBody(std::string_view bytes) = 0;
  virtual void FinishAnswer() = 0;

  // Ends the connection after what has been sent, so that the answer does not
  // look complete.
  virtual void Abort() = 0;

  // Returns the bytes that wait for the caller to read.
  virtual std::size_t PendingBytes() const = 0;
  // False once the answer is finished or the caller has left.
  virtual bool open() const = 0;

  // Calls `left` once if the caller closes the connection before the answer is
  // finished, and `drained` each time all waiting bytes have been sent.
  virtual void Watch(std::function<void()> left,
                     std::function<void()> drained) = 0;
};

}  // namespace hickoryloft::http

#endif  // SOURCE_HTTP_SERVER_EXCHANGE_H_
