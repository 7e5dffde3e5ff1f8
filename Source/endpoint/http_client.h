// Interface for HTTP calls to endpoints, with streamed responses.

#ifndef SOURCE_ENDPOINT_HTTP_CLIENT_H_
#define SOURCE_ENDPOINT_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/shared_bytes.h"
#include "base/time.h"
#include "endpoint/orders.h"
#include "http/header_fields.h"

namespace hickoryloft::endpoint {

using http::FindHeader;
using http::HeaderField;
using http::HeaderFields;

enum class HttpMethod { kGet, kHead, kPost, kPut, kDelete, kPatch };

// Time without any data from the endpoint after which a call fails.
constexpr Duration kDefaultIdleTimeout = seconds(30);
// Time within which a connection must be established.
constexpr Duration kDefaultConnectTimeout = seconds(1);

struct CallRequest {
  EndpointAddress m_endpoint;
  HttpMethod m_method = HttpMethod::kPost;
  std::string m_target;  // Path and query.
  HeaderFields m_headers;
  SharedBytes m_body;
  // If true, a new connection is used, so that a failure to connect proves that
  // no byte of the request was sent. Set it for calls that are not idempotent.
  bool m_fresh_connection = false;
  Duration m_idle_timeout = kDefaultIdleTimeout;
  std::optional<Duration> m_connect_timeout;  // Default: the client's.
  // Name and value of a header field that the endpoint echoes. The call gets a
  // connection that has carried no call with this value. A response with
  // another value belongs to an earlier call and is skipped. A response without
  // the field fails the call with kProtocol if its status is 2xx, or if the
  // connection has carried another call or response, so that it may be an extra
  // one. If the value is empty, the call's own response has no such field, and
  // one with it is skipped. If the name is empty, responses are not matched.
  HeaderField m_echo;
};

struct AnswerHead {
  int m_status = 0;
  HeaderFields m_headers;
  std::optional<std::uint64_t> m_content_length;
  // The body has neither a length nor chunks. Its end is the end of the
  // connection, which does not prove that the body is complete.
  bool m_ends_with_connection = false;
  // Names the connection within this process, for logs.
  std::uint64_t m_connection = 0;
  // Number of calls that the connection carried before this one.
  std::uint64_t m_earlier_calls = 0;
};

// Events of a call, in this order: m_head, any number of m_bytes, m_done; or
// m_failed at any point. Failures: kUnavailable (no byte was sent),
// kOutcomeUnknown or kTimedOut (the request may have been sent), kProtocol (the
// response is not valid HTTP or does not echo the request's id). No event
// follows m_done, m_failed or the destruction of the Call.
struct CallEvents {
  std::function<void(const AnswerHead&)> m_head;
  std::function<void(std::string_view)> m_bytes;
  std::function<void()> m_done;
  std::function<void(const Error&)> m_failed;
};

// A running call. Destroying it cancels the call by closing its connection.
// Use on the loop's thread only; may be destroyed from its own events.
class Call {
 public:
  virtual ~Call() = default;

  // Stop and restart reading from the connection, so that a slow consumer of
  // the response applies backpressure to the endpoint. Some m_bytes events may
  // still follow Pause().
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

// Starts calls. Never retries. Use on the loop's thread only.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  // Starts `request`. The events are called later, on the loop's thread.
  [[nodiscard]] virtual std::unique_ptr<Call> Start(CallRequest request,
                                                    CallEvents events) = 0;
};

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_HTTP_CLIENT_H_
