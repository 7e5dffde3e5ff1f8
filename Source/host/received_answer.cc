#include "host/received_answer.h"

#include "base/log.h"

namespace hickoryloft::host {

namespace {

const Logger kLog("request");

}  // namespace

bool ReceivedAnswer::RelaysEvents() const {
  return m_facts.m_event_stream && m_head.m_status == 200 && m_facts.m_signed &&
         !m_facts.m_encoded;
}

bool ReceivedAnswer::EndsEarly(MonotonicTime now) const {
  return !m_first_event_at || now - *m_first_event_at < kProofTime;
}

bool ReceivedAnswer::IsBrokenOff(const EventSplitter& events) const {
  return RelaysEvents() && m_head.m_ends_with_connection &&
         (events.partial_bytes() > 0 || !m_first_event_at);
}

void ReceivedAnswer::LogUncertainEnd(const std::string& request_id,
                                     const EndpointId& endpoint,
                                     const EventSplitter& events,
                                     bool stream_started) const {
  const bool continues_stream = !stream_started || RelaysEvents();
  if (continues_stream && !m_head.m_ends_with_connection) {
    return;
  }
  kLog.Info(continues_stream ? "answer ended with its connection"
                             : "answer does not continue the stream",
            {{"id", request_id},
             {"endpoint", endpoint.value()},
             {"status", m_head.m_status},
             {"events", events.events()},
             {"unfinished_bytes", events.partial_bytes()}});
}

}  // namespace hickoryloft::host
