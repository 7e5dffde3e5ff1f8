// Refusals to callers, as RFC 9457 problem documents.

#ifndef SOURCE_ENTRY_PROBLEM_H_
#define SOURCE_ENTRY_PROBLEM_H_

#include <string>
#include <string_view>

#include "base/time.h"

namespace hickoryloft::entry {

enum class ProblemKind {
  kBadRequest,
  kConflictingHeaders,
  kTooLarge,
  kRequestTimeout,
  kUnauthenticated,
  kKeyWithdrawn,
  kUnknownModel,
  kUnknownRoute,
  kKeyInRequest,
  kNotServing,
  kDraining,
  kOverRate,
  kRateUnavailable,
  kPatienceExceeded,
  kNoCapacity,
  kEndpointFailed,
  kActionInProgress,
  kActionUnknown,
  kActionMismatch,
  kActionRefused,
};

// Whether a refused request may have been executed.
enum class ExecutionOutcome { kNotRun, kUnknown };

struct Problem {
  ProblemKind m_kind = ProblemKind::kBadRequest;
  std::string m_detail;
  ExecutionOutcome m_outcome = ExecutionOutcome::kNotRun;
  Duration m_retry_after{};  // Zero if retrying does not help.
};

// Returns the stable name of `kind`, the last part of its type URN.
// Thread-safe.
std::string_view ProblemName(ProblemKind kind);

// Returns the HTTP status of `kind`. Thread-safe.
int ProblemStatus(ProblemKind kind);

// Returns `problem` as the JSON text of a problem document. Thread-safe.
std::string FormatProblem(const Problem& problem);

// Returns the value of the Retry-After header in whole seconds, rounded up; 0
// if there is none. Thread-safe.
std::int64_t RetryAfterSeconds(const Problem& problem);

// Returns `problem` as a server-sent event, for a stream that has begun.
// Thread-safe.
std::string FormatProblemEvent(const Problem& problem);

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_PROBLEM_H_
