#include "entry/problem.h"

#include <array>
#include <nlohmann/json.hpp>

namespace hickoryloft::entry {

namespace {

constexpr std::string_view kTypePrefix = "urn:hickoryloft:problem:";

struct ProblemSpec {
  ProblemKind m_kind;
  std::string_view m_name;
  std::string_view m_title;
  int m_status;
};

constexpr std::array kSpecs = {
    ProblemSpec{ProblemKind::kBadRequest, "bad-request",
                "The request is malformed", 400},
    ProblemSpec{ProblemKind::kConflictingHeaders, "conflicting-headers",
                "A header is given twice", 400},
    ProblemSpec{ProblemKind::kTooLarge, "too-large", "The request is too large",
                413},
    ProblemSpec{ProblemKind::kRequestTimeout, "request-timeout",
                "The request arrived too slowly", 408},
    ProblemSpec{ProblemKind::kUnauthenticated, "unauthenticated",
                "No valid key", 401},
    ProblemSpec{ProblemKind::kKeyWithdrawn, "key-withdrawn",
                "The key was withdrawn", 401},
    ProblemSpec{ProblemKind::kUnknownModel, "unknown-model",
                "The account has no such model", 404},
    ProblemSpec{ProblemKind::kUnknownRoute, "unknown-route", "No such route",
                404},
    ProblemSpec{ProblemKind::kKeyInRequest, "key-in-request",
                "The key stands outside the Authorization header", 400},
    ProblemSpec{ProblemKind::kNotServing, "not-serving",
                "This host may not serve now", 503},
    ProblemSpec{ProblemKind::kDraining, "draining", "This host is stopping",
                503},
    ProblemSpec{ProblemKind::kOverRate, "over-rate",
                "The account is over its rate", 429},
    ProblemSpec{ProblemKind::kRateUnavailable, "rate-unavailable",
                "The account's rate cannot be checked", 503},
    ProblemSpec{ProblemKind::kPatienceExceeded, "patience-exceeded",
                "No first answer within the caller's patience", 503},
    ProblemSpec{ProblemKind::kNoCapacity, "no-capacity",
                "No endpoint can take the request", 503},
    ProblemSpec{ProblemKind::kEndpointFailed, "endpoint-failed",
                "The endpoint failed", 502},
    ProblemSpec{ProblemKind::kActionInProgress, "action-in-progress",
                "The action is running", 409},
    ProblemSpec{ProblemKind::kActionUnknown, "action-unknown",
                "The action was started and its fate is not known", 409},
    ProblemSpec{ProblemKind::kActionMismatch, "action-mismatch",
                "The Idempotency-Key was used for another request", 422},
    ProblemSpec{ProblemKind::kActionRefused, "action-refused",
                "The action cannot be recorded now", 503},
};

const ProblemSpec& SpecOf(ProblemKind kind) {
  return kSpecs[static_cast<std::size_t>(kind)];
}

constexpr bool SpecsAreInOrder() {
  for (std::size_t i = 0; i < kSpecs.size(); ++i) {
    if (static_cast<std::size_t>(kSpecs[i].m_kind) != i) {
      return false;
    }
  }
  return kSpecs.size() ==
         static_cast<std::size_t>(ProblemKind::kActionRefused) + 1;
}
static_assert(SpecsAreInOrder());

nlohmann::json ToJson(const Problem& problem) {
  const ProblemSpec& spec = SpecOf(problem.m_kind);
  nlohmann::json json{
      {"type", std::string(kTypePrefix) + std::string(spec.m_name)},
      {"title", spec.m_title},
      {"status", spec.m_status},
      {"detail", problem.m_detail},
      {"outcome",
       problem.m_outcome == ExecutionOutcome::kNotRun ? "not_run" : "unknown"}};
  if (const std::int64_t wait = RetryAfterSeconds(problem); wait > 0) {
    json["retry_after_s"] = wait;
  }
  return json;
}

std::string Dump(const nlohmann::json& json) {
  // Replaces invalid UTF-8, since the detail may quote a caller's bytes.
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string_view ProblemName(ProblemKind kind) {
  return SpecOf(kind).m_name;
}

int ProblemStatus(ProblemKind kind) {
  return SpecOf(kind).m_status;
}

std::int64_t RetryAfterSeconds(const Problem& problem) {
  return std::chrono::ceil<seconds>(problem.m_retry_after).count();
}

std::string FormatProblem(const Problem& problem) {
  return Dump(ToJson(problem));
}

std::string FormatProblemEvent(const Problem& problem) {
  return "event: error\ndata: " + Dump({{"error", ToJson(problem)}}) + "\n\n";
}

}  // namespace hickoryloft::entry
