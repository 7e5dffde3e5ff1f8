// HTTP calls whose complete response is collected in memory.

#ifndef SOURCE_ENDPOINT_BUFFERED_CALL_H_
#define SOURCE_ENDPOINT_BUFFERED_CALL_H_

#include <functional>
#include <string>

#include "base/event_loop.h"
#include "endpoint/http_client.h"

namespace hickoryloft::endpoint {

// A complete response.
struct Answer {
  AnswerHead m_head;
  std::string m_body;
};

// Largest body, in bytes, that is collected; a call with a larger one fails
// with kProtocol.
constexpr std::size_t kMaxBufferedBody = std::size_t{16} * 1024 * 1024;

// Starts `request` and calls `callback` once: with the response, with a failure
// listed at CallEvents, or with kTimedOut if the response is not complete
// within `limit`.
// `loop` and `client` must outlive the call. Use on the loop's thread only.
void StartBuffered(EventLoop& loop,
                   HttpClient& client,
                   CallRequest request,
                   Duration limit,
                   std::function<void(Result<Answer>)> callback);

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_BUFFERED_CALL_H_
