// The answer of an endpoint to one send of a request, as far as received.

#ifndef SOURCE_HOST_RECEIVED_ANSWER_H_
#define SOURCE_HOST_RECEIVED_ANSWER_H_

#include <optional>
#include <string>

#include "fleet/caller_request.h"
#include "host/event_splitter.h"

namespace hickoryloft::host {

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
  // Whether the answer has not gone on for kProofTime.
  bool EndsEarly(MonotonicTime now) const;
  // Whether the answer is a stream that the end of its connection cut inside an
  // event or before the first one. `events` has received the stream.
  bool IsBrokenOff(const EventSplitter& events) const;
  // Logs an end that does not by itself prove that the answer is complete, or
  // that does not continue the stream that an earlier answer has started.
  void LogUncertainEnd(const std::string& request_id,
                       const EndpointId& endpoint,
                       const EventSplitter& events,
                       bool stream_started) const;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_RECEIVED_ANSWER_H_
