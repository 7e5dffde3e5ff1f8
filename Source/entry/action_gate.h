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

// The answer to an action, recorded for repeated requests.
struct RecordedAnswer {
  std::uint16_t m_status = 0;
  std::string m_content_type;
  std::string m_body;
};

enum class BeginVerdict {
  kRun,         // This entry may send it before m_send_deadline.
  kAnswered,    // It was executed earlier; m_answer is its answer.
  kInProgress,  // Another attempt is running.
  kUnknown,     // It was started and its outcome is unknown.
  kMismatch,    // The key was used for a different request.
  kRefused,     // It has not run and must not be sent.
};

struct ActionDecision {
  BeginVerdict m_verdict = BeginVerdict::kRefused;
  std::uint64_t m_attempt = 0;  // Passed to Finish().
  MonotonicTime m_send_deadline{};
  RecordedAnswer m_answer;
  Duration m_retry_after{};
};

enum class ActionResult { kAnswered, kNotRun, kUnknown };

// Claims and records executions in the action ledger. Use on the loop's thread
// only.
class ActionGate {
 public:
  virtual ~ActionGate() = default;

  // Claims the execution of `request`. Calls `callback` once. On an error this
  // attempt must not send the request. kOutcomeUnknown and kTimedOut leave the
  // record open: an earlier attempt may have run, so the caller gets the
  // outcome "unknown". After any other error it gets "not_run".
  virtual void Begin(const ActionRequest& request,
                     Duration limit,
                     std::function<void(Result<ActionDecision>)> callback) = 0;

  // Records the result of an attempt that Begin() allowed. kNotRun requires
  // that no byte of the call was sent. Calls `recorded` once, with true if the
  // record is durable.
  virtual void Finish(const ActionRequest& request,
                      std::uint64_t attempt,
                      ActionResult result,
                      const RecordedAnswer& answer,
                      std::function<void(bool)> recorded) = 0;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_ACTION_GATE_H_
