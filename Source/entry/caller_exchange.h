// One request of a caller and the answer to it.

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

// Answers one request: by Send(), or by StartStream(), SendPiece() and
// EndStream(). Nothing happens in these once the caller has left. Use on the
// loop's thread only.
class CallerExchange {
 public:
  virtual ~CallerExchange() = default;

  virtual const CallerRequest& request() const = 0;

  // Sends the whole answer.
  virtual void Send(int status,
                    const endpoint::HeaderFields& headers,
                    std::string_view body) = 0;

  virtual void StartStream(int status,
                           const endpoint::HeaderFields& headers) = 0;
  virtual void SendPiece(std::string_view piece) = 0;
  virtual void EndStream() = 0;
  // Returns the bytes that the caller has not taken yet.
  virtual std::size_t PendingBytes() const = 0;

  // `drained` is called each time that all pending bytes of a stream were
  // taken; `left` once if the caller leaves before the answer ends. Both are
  // dropped when the answer ends.
  virtual void Watch(std::function<void()> drained,
                     std::function<void()> left) = 0;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_CALLER_EXCHANGE_H_
