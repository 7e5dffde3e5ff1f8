// A request of a caller and its answer.

#ifndef SOURCE_ENTRY_CALLER_EXCHANGE_H_
#define SOURCE_ENTRY_CALLER_EXCHANGE_H_

#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "endpoint/http_client.h"

namespace hickoryloft::entry {

struct CallerRequest {
  endpoint::HttpMethod m_method = endpoint::HttpMethod::kGet;
  std::string m_path;
  std::string m_query;
  endpoint::HeaderFields m_headers;
  std::string m_body;
  MonotonicTime m_received_at{};
};

// Answers one request with Send(), or with StartStream(), SendChunk() and
// EndStream(). These calls have no effect after the caller has disconnected.
// Use on the loop's thread only.
class CallerExchange {
 public:
  virtual ~CallerExchange() = default;

  virtual const CallerRequest& request() const = 0;

  // Sends a complete answer.
  virtual void Send(int status,
                    const endpoint::HeaderFields& headers,
                    std::string_view body) = 0;

  virtual void StartStream(int status,
                           const endpoint::HeaderFields& headers) = 0;
  virtual void SendChunk(std::string_view piece) = 0;
  virtual void EndStream() = 0;
  // Returns the number of bytes that are not yet written to the socket.
  virtual std::size_t PendingBytes() const = 0;

  // Calls `drained` each time all pending bytes of a stream have been written,
  // and `left` once if the connection closes before the answer ends. Both are
  // released when the answer ends.
  virtual void Watch(std::function<void()> drained,
                     std::function<void()> left) = 0;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_CALLER_EXCHANGE_H_
