#include "entry/reply.h"

#include <charconv>

namespace hickoryloft::entry {

namespace {

constexpr std::string_view kRequestId = "X-Request-Id";
constexpr std::int64_t kMaxPatienceMs = 3'600'000;

}  // namespace

endpoint::HeaderFields EchoedHeaders(const CallerRequest& request) {
  endpoint::HeaderFields headers;
  if (const std::string* id =
          endpoint::FindHeader(request.m_headers, kRequestId)) {
    headers.push_back({std::string(kRequestId), *id});
  }
  return headers;
}

void SendProblem(CallerExchange& exchange, const Problem& problem) {
  endpoint::HeaderFields headers = EchoedHeaders(exchange.request());
  headers.push_back({"Content-Type", "application/problem+json"});
  if (const std::int64_t wait = RetryAfterSeconds(problem); wait > 0) {
    headers.push_back({"Retry-After", std::to_string(wait)});
  }
  if (ProblemStatus(problem.m_kind) ==
      ProblemStatus(ProblemKind::kUnauthenticated)) {
    headers.push_back({"WWW-Authenticate", "Bearer"});
  }
  exchange.Send(ProblemStatus(problem.m_kind), headers, FormatProblem(problem));
}

Duration ReadPatience(const CallerRequest& request, Duration default_patience) {
  const std::string* text =
      endpoint::FindHeader(request.m_headers, "X-Patience-Ms");
  if (text == nullptr) {
    return default_patience;
  }
  std::int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto result = std::from_chars(text->data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value <= 0 ||
      value > kMaxPatienceMs) {
    throw Error(ErrorCode::kInvalidArgument,
                "X-Patience-Ms must be a whole number of milliseconds from 1 "
                "to " +
                    std::to_string(kMaxPatienceMs));
  }
  return milliseconds(value);
}

}  // namespace hickoryloft::entry
