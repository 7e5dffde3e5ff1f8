// A caller's request and the head of an endpoint's answer, independent of the
// platform's header names.

#ifndef SOURCE_FLEET_CALLER_REQUEST_H_
#define SOURCE_FLEET_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/shared_bytes.h"
#include "base/time.h"
#include "endpoint/http_client.h"
#include "fleet/prompt_part.h"
#include "http/header_fields.h"

namespace hickoryloft::fleet {

struct CallerRequest {
  std::string m_id;  // Unique per attempt of the caller.
  endpoint::HttpMethod m_method = endpoint::HttpMethod::kPost;
  std::string m_target;  // Path and query, as received.
  std::string m_path;
  std::string m_host;
  std::string m_key;                   // API key; empty if none was sent.
  std::optional<Duration> m_deadline;  // Longest time the caller waits.
  ModelId m_model;                     // Empty for a plain service.
  AdapterId m_adapter;                 // Empty: the base model.
  std::optional<double> m_prompt_tokens;
  std::optional<double> m_output_tokens;  // Upper limit.
  std::vector<PromptPart> m_prompt;       // In order; the last is unique.
  std::string m_resume_after;             // Id of the last event received.
  // Headers to forward: neither hop-by-hop headers nor headers that this
  // system sets itself.
  http::HeaderFields m_forwarded;
  SharedBytes m_body;
  MonotonicTime m_received_at;
};

// The values that a host adds to a request it forwards to an endpoint.
struct ForwardedCall {
  endpoint::EndpointAddress m_endpoint;
  Duration m_time_left{};
  ClientAccountId m_account;     // Empty on open routes.
  std::optional<int> m_urgency;  // 0 is the most urgent, 9 the least.
  std::string m_resume_after;
};

// Properties of an endpoint's answer, read from its status and headers.
struct AnswerMetadata {
  bool m_signed = false;        // Has the endpoint's own signature.
  bool m_not_executed = false;  // Proof that the request did not run.
  bool m_event_stream = false;
  bool m_encoded = false;  // Content-encoded: not the original bytes.
  bool m_leaving = false;  // The endpoint will shut down soon.
  // How long this host must not send requests to the endpoint.
  std::optional<Duration> m_retry_after;
  // The rate at which the endpoint takes requests from all hosts together.
  std::optional<double> m_requests_per_second;
  // For how long the endpoint stays cold.
  std::optional<Duration> m_cold_for;
  http::HeaderFields m_forwarded;  // Headers for the caller.
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_CALLER_REQUEST_H_
