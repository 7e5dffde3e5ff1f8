// The answer of an endpoint to one send of a request, as far as received.

#ifndef SOURCE_HOST_RECEIVED_ANSWER_H_
#define SOURCE_HOST_RECEIVED_ANSWER_H_

#include <optional>
#include <string>

#include "fleet/caller_request.h"
#include "host/event_splitter.h"

namespace hickoryloft::host {

// What one send of a request came to, once its answer has ended.
enum class SendOutcome {
  kComplete,            // The whole answer of the endpoint.
  kFailed,              // The endpoint's own failure, status 500 or above.
  kNotExecuted,         // The endpoint did not execute the request.
  kUnprovenRefusal,     // A refusal that does not say that it did not execute.
  kNotTheEndpoints,     // A success that is not the endpoint's own answer.
  kStreamBrokenOff,     // A stream without its end.
  kAnswerBrokenOff,     // Cut by the end of its endpoint.
  kStreamNotContinued,  // Does not continue the stream that was begun.
};

// Not thread-safe.
struct ReceivedAnswer {
  // An answer that goes on for this long after its first event proves that its
  // prompt does not crash endpoints.
  static constexpr Duration kProofTime = milliseconds(400);

  endpoint::AnswerHead m_head;
  fleet::AnswerMetadata m_facts;
  std::string m_body;  // Unless it is relayed event by event.
  std::optional<MonotonicTime> m_first_event_at;

  // Whether the body is relayed event by event.
  bool RelaysEvents() const;
  // Whether callers may take the status for a promise that the request has not
  // been executed.
  bool ReadsAsRefusal() const;
  // Whether the answer has not gone on for kProofTime.
  bool EndsEarly(MonotonicTime now) const;
  // Returns what the send came to. Precondition: the answer has ended, and
  // `events` has received it if it is relayed event by event. `stream_started`:
  // the caller already has the head and events of an earlier answer.
  SendOutcome Judge(const EventSplitter& events, bool stream_started) const;
  // Logs an end that does not by itself prove that the answer is complete.
  void LogUncertainEnd(const std::string& request_id,
                       const EndpointId& endpoint,
                       const EventSplitter& events,
                       SendOutcome outcome) const;

 private:
  SendOutcome JudgeStream(const EventSplitter& events,
                          bool stream_started) const;
};

// Returns the name of `outcome` for logs and error bodies. Thread-safe.
const char* ToText(SendOutcome outcome);

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_RECEIVED_ANSWER_H_
