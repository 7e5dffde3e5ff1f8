// A caller's request and an endpoint's answer, decoded from the wire.

#ifndef SOURCE_FLEET_CALLER_REQUEST_H_
#define SOURCE_FLEET_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "endpoint/http_client.h"
#include "http/header_fields.h"

namespace hickoryloft::fleet {

// A part of a prompt that requests may share.
struct PromptPart {
  std::string m_id;
  double m_tokens = 0;
};

struct CallerRequest {
  std::string m_id;  // One per attempt of the caller.
  endpoint::HttpMethod m_method = endpoint::HttpMethod::kPost;
  std::string m_target;  // Path and query, as received.
  std::string m_path;
  std::string m_host;
  std::string m_key;                   // Empty: none was sent.
  std::optional<Duration> m_deadline;  // Time that the caller will wait.
  ModelId m_model;                     // Empty for plain services.
  AdapterId m_adapter;                 // Empty: the base model.
  std::optional<double> m_prompt_tokens;
  std::optional<double> m_output_tokens;  // At most.
  std::vector<PromptPart> m_prompt;       // In order; the last is its own.
  std::string m_resume_after;             // Id of the last event received.
  // To be forwarded: neither of one connection, nor set by this system.
  http::HeaderFields m_forwarded;
  std::string m_body;
  MonotonicTime m_received_at;
};

// What goes along with a request to an endpoint.
struct ForwardedCall {
  endpoint::EndpointAddress m_endpoint;
  Duration m_time_left{};
  ClientAccountId m_account;     // Empty on open routes.
  std::optional<int> m_urgency;  // 0 first, 9 last.
  std::string m_resume_after;
};

// What the head of an endpoint's answer says.
struct AnswerFacts {
  bool m_signed = false;        // Made by the endpoint itself.
  bool m_not_executed = false;  // The endpoint proves that it did not run it.
  bool m_event_stream = false;
  bool m_encoded = false;  // The body is not the endpoint's own bytes.
  bool m_leaving = false;  // The endpoint will go soon.
  // The endpoint wants no requests from this host for so long.
  std::optional<Duration> m_turned_away_for;
  http::HeaderFields m_forwarded;  // For the caller.
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_CALLER_REQUEST_H_
