// Calls whose whole answer is wanted at once.

#ifndef SOURCE_ENDPOINT_BUFFERED_CALL_H_
#define SOURCE_ENDPOINT_BUFFERED_CALL_H_

#include <functional>
#include <string>

#include "base/event_loop.h"
#include "endpoint/http_client.h"

namespace hickoryloft::endpoint {

// A whole answer.
struct Answer {
  AnswerHead m_head;
  std::string m_body;
};

// Longest body that is collected; a longer one fails the call with kProtocol.
constexpr std::size_t kMaxBufferedBody = std::size_t{16} * 1024 * 1024;

// Starts `request` and calls `callback` once: with the answer, with a failure
// of CallEvents, or with kTimedOut when the answer is not whole within `limit`.
// `loop` and `client` must outlive the call. Use on the loop's thread only.
void StartBuffered(EventLoop& loop,
                   HttpClient& client,
                   CallRequest request,
                   Duration limit,
                   std::function<void(Result<Answer>)> callback);

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_BUFFERED_CALL_H_
