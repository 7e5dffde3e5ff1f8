// HTTP calls whose complete response is collected in memory.

#ifndef SOURCE_ENDPOINT_BUFFERED_CALL_H_
#define SOURCE_ENDPOINT_BUFFERED_CALL_H_

#include <functional>
#include <string>

#include "base/buffer_budget.h"
#include "base/event_loop.h"
#include "endpoint/http_client.h"

namespace hickoryloft::endpoint {

// A complete response.
struct Answer {
  AnswerHead m_head;
  std::string m_body;
};

struct BufferedLimits {
  Duration m_time{};  // Until the response is complete.
  // Largest body that is collected.
  std::size_t m_bytes = std::size_t{16} * 1024 * 1024;
  // Memory that the body shares with others; null if it needs no bound beyond
  // m_bytes.
  BufferBudget* m_budget = nullptr;
};

// Starts `request` and calls `callback` once: with the response, with a failure
// listed at CallEvents, with kTimedOut after m_time, or with kProtocol if the
// body is larger than m_bytes or has no room in the budget.
// `loop`, `client` and the budget must outlive the call. Use on the loop's
// thread only.
void StartBuffered(EventLoop& loop,
                   HttpClient& client,
                   CallRequest request,
                   const BufferedLimits& limits,
                   std::function<void(Result<Answer>)> callback);

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_BUFFERED_CALL_H_
