#include "host/received_answer.h"

#include <algorithm>
#include <array>

#include "base/log.h"

namespace hickoryloft::host {

namespace {

const Logger kLog("request");

}  // namespace

bool ReceivedAnswer::RelaysEvents() const {
  return m_facts.m_event_stream && m_head.m_status == 200 && m_facts.m_signed &&
         !m_facts.m_encoded;
}

bool ReceivedAnswer::ReadsAsRefusal() const {
  static constexpr std::array<int, 4> kRefusals = {408, 421, 429, 503};
  return std::find(kRefusals.begin(), kRefusals.end(), m_head.m_status) !=
         kRefusals.end();
}

bool ReceivedAnswer::EndsEarly(MonotonicTime now) const {
  return !m_first_event_at || now - *m_first_event_at < kProofTime;
}

SendOutcome ReceivedAnswer::Judge(const EventSplitter& events,
                                  bool stream_started) const {
  constexpr int kFirstFailure = 500;
  if (m_facts.m_not_executed) {
    return SendOutcome::kNotExecuted;
  }
  if (m_head.m_status / 100 == 2 && (!m_facts.m_signed || m_facts.m_encoded)) {
    return SendOutcome::kNotTheEndpoints;
  }
  if (RelaysEvents()) {
    return JudgeStream(events, stream_started);
  }
  if (stream_started) {
    return SendOutcome::kStreamNotContinued;
  }
  if (ReadsAsRefusal()) {
    return SendOutcome::kUnprovenRefusal;
  }
  return m_head.m_status >= kFirstFailure ? SendOutcome::kFailed
                                          : SendOutcome::kComplete;
}

SendOutcome ReceivedAnswer::JudgeStream(const EventSplitter& events,
                                        bool stream_started) const {
  if (events.misplaced()) {
    return SendOutcome::kStreamNotContinued;
  }
  // A faulty endpoint may frame what it has sent as complete, so the end of a
  // message proves nothing about an event that has begun.
  if (events.partial_bytes() > 0) {
    return SendOutcome::kStreamBrokenOff;
  }
  if (events.answer_events() > 0) {
    return SendOutcome::kComplete;
  }
  if (stream_started) {
    return SendOutcome::kStreamNotContinued;
  }
  // Only a caller that resumes after an event may have had the last one.
  const bool resumed = !events.last_id().empty();
  return resumed && !m_head.m_ends_with_connection
             ? SendOutcome::kComplete
             : SendOutcome::kStreamBrokenOff;
}

void ReceivedAnswer::LogUncertainEnd(const std::string& request_id,
                                     const EndpointId& endpoint,
                                     const EventSplitter& events,
                                     SendOutcome outcome) const {
  const bool stream_ended_early = outcome == SendOutcome::kStreamBrokenOff ||
                                  outcome == SendOutcome::kStreamNotContinued;
  if (!stream_ended_early && !m_head.m_ends_with_connection) {
    return;
  }
  kLog.Info("end of the answer does not prove that it is complete",
            {{"id", request_id},
             {"endpoint", endpoint.value()},
             {"status", m_head.m_status},
             {"outcome", ToText(outcome)},
             {"framed", m_head.m_ends_with_connection ? 0 : 1},
             {"answer_events", events.answer_events()},
             {"events", events.events()},
             {"last_id", events.last_id()},
             {"unfinished_bytes", events.partial_bytes()}});
}

const char* ToText(SendOutcome outcome) {
  static constexpr std::array<const char*, 8> kNames = {
      "complete",
      "endpoint_failed",
      "endpoint_refused",
      "refusal_without_proof",
      "answer_not_the_endpoints",
      "stream_broken_off",
      "answer_broken_off",
      "stream_not_continued"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace hickoryloft::host
