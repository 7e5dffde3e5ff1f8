#include "host/request_flow.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "admission/request_fingerprint.h"
#include "base/log.h"
#include "host/endpoint_finder.h"
#include "host/retry_after.h"

namespace hickoryloft::host {

namespace {

// With less time than this left, no endpoint can answer before the deadline.
constexpr Duration kMinSendTime = milliseconds(5);
// Endpoints answer a connection within a few milliseconds; one that takes this
// long no longer exists.
constexpr Duration kConnectTimeout = milliseconds(250);
// Reading from the endpoint pauses while more answer bytes than this are
// buffered for a slow caller.
constexpr std::size_t kMaxPendingBytes = std::size_t{256} * 1024;
// Limit on a buffered answer, a thousand times the usual size, because a faulty
// endpoint may send without end.
constexpr std::size_t kMaxAnswerBytes = std::size_t{4} * 1024 * 1024;
// Limit on one event of a stream.
constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;
// An endpoint that refused a request is likely to have capacity after this.
constexpr Duration kRefusedRetryAfter = milliseconds(500);
// What is held stays held while such requests come.
constexpr Duration kHeldRetryAfter = seconds(60);
// A host hears within about this time that a failure domain was taken back.
constexpr Duration kEvacuatedRetryAfter = seconds(1);

const Logger kLog("request");

}  // namespace

RequestFlow::RequestFlow(RequestContext& context,
                         std::shared_ptr<http::ServerExchange> exchange,
                         Admitted admitted)
    : m_context(context),
      m_exchange(std::move(exchange)),
      m_admitted(std::move(admitted)),
      m_events(m_admitted.m_request.m_resume_after) {
  const fleet::CallerRequest& request = m_admitted.m_request;
  m_requirements = {.m_service = m_admitted.m_service,
                    .m_model = request.m_model,
                    .m_adapter = request.m_adapter,
                    .m_homes = {.m_route = m_admitted.m_route->m_homes,
                                .m_account = m_admitted.m_account_homes}};
  m_parts = PartsOf(request, m_admitted.m_account);
  m_deadline = m_admitted.deadline();
}

RequestFlow::~RequestFlow() {
  EndSend(SendEnd::kMayHaveRun);
}

Duration RequestFlow::Waited() const {
  return m_context.m_loop.Now() - m_admitted.m_request.m_received_at;
}

void RequestFlow::Start() {
  m_exchange->Watch([this] { OnCallerDisconnected(); },
                    [this] {
                      if (m_call) {
                        MeasureBuffer();
                        m_call->Resume();
                      }
                    });
  m_deadline_timer = m_context.m_loop.After(m_deadline - m_context.m_loop.Now(),
                                            [this] { OnDeadline(); });
  if (!Dispatch()) {
    m_phase = Phase::kWaiting;
    m_context.m_on_waiting(*this);
  }
}

bool RequestFlow::RetryDispatch() {
  if (Dispatch()) {
    return false;
  }
  return waiting();
}

bool RequestFlow::Dispatch() {
  const MonotonicTime now = m_context.m_loop.Now();
  if (!m_admitted.m_account.empty() && !m_context.m_keys_current()) {
    Refuse("knowledge_too_old", seconds(1));
    return true;
  }
  if (m_deadline - now < kMinSendTime) {
    Refuse("deadline_passed_waiting", std::nullopt);
    return true;
  }
  if (RejectHeldPart()) {
    return true;
  }
  const EndpointFinder finder(m_context, m_requirements);
  const fleet::EndpointEntry* entry = finder.Choose();
  if (entry != nullptr) {
    Send(*entry);
    return true;
  }
  return RejectUnreachable(finder.Reach());
}

bool RequestFlow::RejectUnreachable(routing::ServiceReach reach) {
  switch (reach) {
    case routing::ServiceReach::kReachable:
    case routing::ServiceReach::kUnregistered:
      return false;
    case routing::ServiceReach::kEvacuated:
      Refuse("evacuated", kEvacuatedRetryAfter);
      break;
    case routing::ServiceReach::kNotAtHome:
      Refuse("no_endpoint_at_home", std::nullopt);
      break;
  }
  return true;
}

bool RequestFlow::RejectHeldPart() {
  const auto part = m_context.m_crash_guard.HeldPart(m_parts);
  if (!part || m_is_trial) {
    return false;
  }
  m_is_trial = m_context.m_crash_guard.TakeTrial(*part);
  kLog.Info(m_is_trial ? "letting a held request through as a trial"
                       : "rejecting a request that crashes endpoints",
            {{"id", m_admitted.m_request.m_id}, {"prompt_part", *part}});
  if (m_is_trial) {
    return false;
  }
  m_context.m_crash_guard.RecordRejection(*part);
  Refuse(admission::IsFingerprint(*part) ? "request_held" : "prompt_part_held",
         kHeldRetryAfter);
  return true;
}

void RequestFlow::Send(const fleet::EndpointEntry& entry) {
  const MonotonicTime now = m_context.m_loop.Now();
  const fleet::CallerRequest& request = m_admitted.m_request;
  m_endpoint = entry.m_id;
  m_address = {entry.m_id, entry.m_address, entry.m_port};
  m_endpoint_started_at_ms = entry.m_started_at_ms;
  m_phase = m_stream_started ? Phase::kStreaming : Phase::kSent;
  m_sent_at = now;
  m_answer = {};
  m_events.BeginAnswer();
  if (m_sends++ == 0) {
    m_context.m_metrics.m_queue_time.Record(Waited());
  }
  m_context.m_metrics.CountSend(m_sends > 1);
  m_requirements.m_tried.insert(m_endpoint);
  m_context.m_permits.Use(entry);
  m_context.m_load.Begin(m_endpoint, request.m_model);
  m_executions.BeginSend(m_endpoint);
  kLog.Info("sent", {{"id", request.m_id},
                     {"endpoint", m_endpoint.value()},
                     {"send", m_sends},
                     {"waited_ms", ToMillis(Waited()).count()},
                     {"running", m_context.m_load.Total(m_endpoint)},
                     {"left_ms", ToMillis(m_deadline - now).count()}});
  endpoint::CallRequest call = m_context.m_protocol.EncodeCall(
      request, {.m_endpoint = m_address,
                .m_time_left = m_deadline - now,
                .m_account = m_admitted.m_account,
                .m_urgency = m_admitted.m_urgency,
                .m_resume_after = m_events.last_id()});
  call.m_connect_timeout = kConnectTimeout;
  // m_deadline_timer ends the call. The idle timeout lies past the deadline,
  // because silence until then does not prove that the endpoint failed.
  call.m_idle_timeout = m_deadline - now + seconds(1);
  m_buffer.emplace(
      m_context.m_answers, m_endpoint.value(),
      [this](const BufferBudget::Excess& excess) { OnOverBudget(excess); });
  m_call = m_context.m_client.Start(
      std::move(call),
      {.m_head = [this](const endpoint::AnswerHead& head) { OnHead(head); },
       .m_bytes = [this](std::string_view bytes) { OnBytes(bytes); },
       .m_done = [this] { OnDone(); },
       .m_failed = [this](const Error& error) { OnFailed(error); }});
}

void RequestFlow::EndSend(SendEnd end) {
  m_call.reset();
  m_buffer.reset();
  if (m_executions.sending()) {
    m_context.m_load.End(m_endpoint, m_admitted.m_request.m_model);
  }
  m_executions.EndSend(end);
}

void RequestFlow::OnHead(const endpoint::AnswerHead& head) {
  m_answer.m_head = head;
  m_answer.m_facts = m_context.m_protocol.DecodeAnswer(head);
  if (m_answer.m_facts.m_retry_after) {
    kLog.Info(
        "endpoint rejects requests of this host; not using it for the stated "
        "time",
        {{"id", m_admitted.m_request.m_id},
         {"endpoint", m_endpoint.value()},
         {"for_ms", ToMillis(*m_answer.m_facts.m_retry_after).count()}});
    m_context.m_health.RecordBackoff(
        m_endpoint, *m_answer.m_facts.m_retry_after, m_context.m_loop.Now());
  }
  // 421 (Misdirected Request) comes from another server. Without a signature,
  // an answer does not prove that the endpoint names no limit.
  if (m_answer.m_head.m_status != 421 &&
      (m_answer.m_facts.m_signed || m_answer.m_facts.m_requests_per_second)) {
    m_context.m_permits.RecordAnswer(m_endpoint, m_endpoint_started_at_ms,
                                     m_answer.m_facts.m_requests_per_second);
  }
  if (m_answer.m_facts.m_cold_for) {
    m_context.m_on_endpoint_cold(m_endpoint, m_endpoint_started_at_ms,
                                 *m_answer.m_facts.m_cold_for);
  }
  if (m_answer.m_facts.m_leaving) {
    m_context.m_on_endpoint_leaving(m_endpoint, m_endpoint_started_at_ms);
  }
  if (head.m_content_length && !m_answer.RelaysEvents()) {
    m_buffer->SetFinalSizeKnown();
    m_answer.m_body.reserve(
        std::min<std::size_t>(*head.m_content_length, kMaxAnswerBytes));
  }
}

void RequestFlow::OnBytes(std::string_view bytes) {
  if (!m_answer.RelaysEvents()) {
    if (m_answer.m_body.size() + bytes.size() > kMaxAnswerBytes) {
      OnFailed(Error(ErrorCode::kProtocol, "the answer has more than " +
                                               std::to_string(kMaxAnswerBytes) +
                                               " bytes"));
      return;
    }
    m_answer.m_body.append(bytes);
    MeasureBuffer();
    return;
  }
  const std::string events = m_events.Feed(bytes);
  if (m_events.misplaced()) {
    OnDone();
    return;
  }
  if (m_events.partial_bytes() > kMaxEventBytes) {
    OnFailed(Error(
        ErrorCode::kProtocol,
        "an event has more than " + std::to_string(kMaxEventBytes) + " bytes"));
    return;
  }
  if (!events.empty()) {
    RelayEvents(events);
  }
  MeasureBuffer();
}

void RequestFlow::MeasureBuffer() {
  if (m_buffer) {
    // Memory that is reserved and not yet written to is not in use.
    const std::size_t body = m_answer.m_head.m_content_length
                                 ? m_answer.m_body.size()
                                 : m_answer.m_body.capacity();
    m_buffer->Resize(body + m_events.partial_bytes() +
                     m_exchange->PendingBytes());
  }
}

void RequestFlow::RelayEvents(const std::string& events) {
  const MonotonicTime now = m_context.m_loop.Now();
  if (!m_answer.m_first_event_at) {
    m_answer.m_first_event_at = now;
  } else if (!m_prompt_proved && !m_answer.EndsEarly(now)) {
    m_prompt_proved = true;
    m_context.m_crash_guard.RecordProof(m_parts, AnswerProgress::kGoesOn);
  }
  m_doubtful_answer.reset();
  if (!m_stream_started) {
    m_stream_started = true;
    m_phase = Phase::kStreaming;
    m_context.m_metrics.m_first_event.Record(Waited());
    kLog.Info("first event", {{"id", m_admitted.m_request.m_id},
                              {"endpoint", m_endpoint.value()},
                              {"after_ms", ToMillis(Waited()).count()}});
    m_exchange->StartAnswer(m_answer.m_head.m_status,
                            m_answer.m_facts.m_forwarded, std::nullopt);
  } else {
    m_context.m_metrics.m_event_gap.Record(now - m_last_event_at);
  }
  m_last_event_at = now;
  m_exchange->SendBody(events);
  if (m_exchange->PendingBytes() > kMaxPendingBytes && m_call) {
    m_call->Pause();
  }
}

void RequestFlow::OnDone() {
  const SendOutcome outcome = m_answer.Judge(m_events, m_stream_started);
  if (outcome == SendOutcome::kNotExecuted) {
    EndSend(SendEnd::kNotExecuted);
    OnNotExecuted(m_answer.m_head.m_status);
    return;
  }
  EndSend(SendEnd::kMayHaveRun);
  m_answer.LogUncertainEnd(m_admitted.m_request.m_id, m_endpoint, m_events,
                           outcome);
  if (outcome != SendOutcome::kComplete) {
    OnUnusableAnswer(outcome);
    return;
  }
  if (m_answer.m_head.m_ends_with_connection) {
    CheckUnframedEnd();
    return;
  }
  RecordSoundAnswer();
  RelayCompleteAnswer();
}

void RequestFlow::RecordSoundAnswer() {
  m_context.m_health.RecordSuccess(m_endpoint);
  m_context.m_crash_guard.RecordProof(
      m_parts, m_answer.m_head.m_status / 100 == 2 ? AnswerProgress::kComplete
                                                   : AnswerProgress::kRejected);
}

void RequestFlow::RelayCompleteAnswer() {
  if (!m_stream_started) {
    RelayWholeAnswer();
    return;
  }
  m_exchange->FinishAnswer();
  Finish("answered", "");
}

void RequestFlow::OnUnusableAnswer(SendOutcome outcome) {
  if (outcome == SendOutcome::kStreamNotContinued && RelayDoubtfulAnswer()) {
    return;
  }
  AvoidEndpoint();
  if (outcome == SendOutcome::kStreamBrokenOff ||
      outcome == SendOutcome::kAnswerBrokenOff) {
    ReportEarlyEnd();
  }
  // The endpoint's own failure is its answer if no other endpoint may be asked.
  if (outcome == SendOutcome::kFailed && !m_doubtful_answer &&
      !(MayRepeat() && m_sends < kMaxSends)) {
    RelayWholeAnswer();
    return;
  }
  RetryOrFinish(/*may_have_run=*/true, ToText(outcome));
}

void RequestFlow::RelayWholeAnswer() {
  m_exchange->Answer(m_answer.m_head.m_status, m_answer.m_facts.m_forwarded,
                     std::exchange(m_answer.m_body, {}));
  Finish(m_answer.m_head.m_status < 400 ? "answered" : "endpoint_failed",
         "status_" + std::to_string(m_answer.m_head.m_status));
}

void RequestFlow::OnNotExecuted(int status) {
  const MonotonicTime now = m_context.m_loop.Now();
  const fleet::CallerRequest& request = m_admitted.m_request;
  kLog.Info("endpoint rejected the request without executing it",
            {{"id", request.m_id},
             {"endpoint", m_endpoint.value()},
             {"address", m_address.m_address},
             {"port", m_address.m_port},
             {"connection", m_answer.m_head.m_connection},
             {"earlier_calls", m_answer.m_head.m_earlier_calls},
             {"status", status},
             {"model", request.m_model.value()}});
  if (!request.m_model.empty()) {
    m_context.m_replicas.RecordMissing(m_endpoint, request.m_model,
                                       request.m_adapter, now);
  } else {
    AvoidEndpoint();
  }
  RetryOrFinish(/*may_have_run=*/false, ToText(SendOutcome::kNotExecuted));
}

void RequestFlow::OnFailed(const Error& error) {
  const bool may_have_run = error.code() != ErrorCode::kUnavailable;
  EndSend(may_have_run ? SendEnd::kMayHaveRun : SendEnd::kNotExecuted);
  // A connection that failed before the connect timeout was refused.
  const bool refused =
      !may_have_run && m_context.m_loop.Now() - m_sent_at < kConnectTimeout;
  AvoidEndpoint(refused);
  kLog.Warn("send failed", {{"id", m_admitted.m_request.m_id},
                            {"endpoint", m_endpoint.value()},
                            {"may_have_run", may_have_run ? 1 : 0},
                            {"events", m_events.events()},
                            {"prompt_parts", Describe(m_parts)},
                            {"reason", error.what()}});
  if (error.code() == ErrorCode::kOutcomeUnknown) {
    ReportEarlyEnd();
  }
  RetryOrFinish(may_have_run, "connection_failed");
}

void RequestFlow::ReportEarlyEnd() {
  const fleet::EndpointEntry* entry =
      m_context.m_knowledge.directory().Find(m_endpoint);
  if (m_answer.EndsEarly(m_context.m_loop.Now()) && entry != nullptr &&
      entry->AcceptsRequests()) {
    m_context.m_crash_guard.RecordEarlyEnd(
        {entry->m_id, entry->m_address, entry->m_port},
        m_endpoint_started_at_ms, m_parts);
  }
}

void RequestFlow::AvoidEndpoint(bool refused) {
  const MonotonicTime now = m_context.m_loop.Now();
  const Duration pause =
      refused ? m_context.m_health.RecordRefusal(m_endpoint, now)
              : m_context.m_health.RecordFailure(m_endpoint, now);
  kLog.Info("endpoint avoided", {{"id", m_admitted.m_request.m_id},
                                 {"endpoint", m_endpoint.value()},
                                 {"for_ms", ToMillis(pause).count()}});
}

bool RequestFlow::MayRepeat() const {
  const fleet::Route& route = *m_admitted.m_route;
  const bool repeatable =
      route.m_kind == fleet::RequestKind::kIdempotent ||
      (route.m_kind == fleet::RequestKind::kStreaming && route.m_resumable);
  return repeatable &&
         static_cast<int>(m_executions.endpoints()) < route.m_max_endpoints;
}

bool RequestFlow::MaySendNow() const {
  return (m_admitted.m_account.empty() || m_context.m_keys_current()) &&
         !m_context.m_crash_guard.HeldPart(m_parts) &&
         m_deadline - m_context.m_loop.Now() >= kMinSendTime;
}

void RequestFlow::RetryOrFinish(bool may_have_run, const std::string& reason) {
  if (RelayDoubtfulAnswer()) {
    return;
  }
  // What may have crashed this endpoint must not reach another one.
  const bool suspect = may_have_run &&
                       m_answer.EndsEarly(m_context.m_loop.Now()) &&
                       m_context.m_crash_guard.Suspects(m_parts);
  const bool repeat = !suspect && (not_run() || MayRepeat());
  // A send without a connection put no load on an endpoint, so it is not
  // charged to the retry budget.
  const bool free = !may_have_run && reason == "connection_failed";
  if (repeat && m_sends < kMaxSends &&
      (free ||
       m_context.m_retry_budget(m_admitted.m_service)
           .TryRetry(m_context.m_host_count(), m_context.m_loop.Now()))) {
    kLog.Info("sending the request again", {{"id", m_admitted.m_request.m_id},
                                            {"reason", reason},
                                            {"sends", m_sends}});
    if (!may_have_run && !free && !m_admitted.m_request.m_model.empty()) {
      // The endpoint may load the missing model again, so it stays eligible.
      m_requirements.m_tried.erase(m_endpoint);
    }
    if (!Dispatch()) {
      m_phase = Phase::kWaiting;
      m_context.m_on_waiting(*this);
    }
    return;
  }
  if (m_stream_started) {
    BreakOff(reason);
    return;
  }
  if (not_run()) {
    AnswerWithProblem(503, "refused", reason, kRefusedRetryAfter);
    return;
  }
  AnswerWithProblem(502, "failed", reason, std::nullopt);
}

}  // namespace hickoryloft::host
