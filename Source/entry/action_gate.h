// At-most-once execution of non-idempotent requests.

#ifndef SOURCE_ENTRY_ACTION_GATE_H_
#define SOURCE_ENTRY_ACTION_GATE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::entry {

// A non-idempotent request of a client account.
struct ActionRequest {
  ClientAccountId m_account;     // Qualified name.
  std::string m_key;             // The Idempotency-Key.
  std::string m_request_digest;  // Of method, path and body.
  ServiceId m_service;
  std::string m_route;
};

// An answer worth repeating to the caller.
struct RecordedAnswer {
  std::uint16_t m_status = 0;
  std::string m_content_type;
  std::string m_body;
};

enum class ActionStep {
  kRun,         // This caller runs it, before m_send_before.
  kAnswered,    // It ran earlier; m_answer is its answer.
  kInProgress,  // It is running elsewhere.
  kUnknown,     // It was started and its fate is not known.
  kMismatch,    // The key was used for another request.
  kRefused,     // It has not run, and this attempt will not run it.
};

struct ActionDecision {
  ActionStep m_step = ActionStep::kRefused;
  std::uint64_t m_attempt = 0;  // For Finish().
  MonotonicTime m_send_before{};
  RecordedAnswer m_answer;
  Duration m_retry_after{};
};

enum class ActionResult { kAnswered, kNotRun, kUnknown };

// Claims and records executions in the action ledger. Use on the loop's thread
// only.
class ActionGate {
 public:
  virtual ~ActionGate() = default;

  // Claims the execution of `request`. Calls `callback` once. A failure means
  // that it must not be run; kOutcomeUnknown and kTimedOut leave its record
  // open, so the caller is told "unknown" only if an earlier attempt may have
  // run, and "not run" otherwise, since this attempt sends nothing.
  virtual void Begin(const ActionRequest& request,
                     Duration limit,
                     std::function<void(Result<ActionDecision>)> callback) = 0;

  // Records how the attempt that Begin() allowed has ended. kNotRun may be
  // given only when no byte of the call has left. `recorded` is called once:
  // true when the record is durable.
  virtual void Finish(const ActionRequest& request,
                      std::uint64_t attempt,
                      ActionResult result,
                      const RecordedAnswer& answer,
                      std::function<void(bool)> recorded) = 0;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_ACTION_GATE_H_
