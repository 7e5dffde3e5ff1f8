#include "entry/completion_flow.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "endpoint/served_name.h"
#include "entry/reply.h"

namespace hickoryloft::entry {

namespace {

constexpr Duration kRetryAfterFailure = seconds(1);
// The time limit of the token reservation is the patience divided by this.
constexpr int kTokenWaitDivisor = 2;
// A late first answer is attributed to the rate limit if the token reservation
// took more than the time of the first answer divided by this.
constexpr int kRateCauseDivisor = 2;

// Priority of an account of weight 1; engines run smaller numbers first.
constexpr double kPriorityScale = 100;

const Logger kLog("completions");

std::int64_t PriorityOf(const documents::ClientAccountSpec& account) {
  return static_cast<std::int64_t>(kPriorityScale / account.m_weight);
}

}  // namespace

CompletionFlow::CompletionFlow(EntryContext& context,
                               std::shared_ptr<CallerExchange> exchange,
                               std::shared_ptr<const Principal> principal,
                               CompletionBody body,
                               endpoint::Artifact artifact,
                               Duration patience)
    : m_context(context),
      m_exchange(std::move(exchange)),
      m_principal(std::move(principal)),
      m_body(std::move(body)),
      m_artifact(std::move(artifact)),
      m_served_name(endpoint::ServedName(m_artifact)),
      m_rendered_body(RenderForEngine(m_body, m_served_name)),
      m_patience(patience),
      m_series(context.m_metrics.Series(m_principal->m_id, kCompletionKind)),
      m_prefix(routing::HashPrefix(m_served_name, m_body.m_prompt_start)),
      m_id(context.m_running.NextId()) {}

void CompletionFlow::Start() {
  m_context.m_running.Add(m_id, shared_from_this());
  m_context.m_retries.OnRequest();
  m_series.m_requests->Add();
  m_usage = {.m_prompt_tokens = m_body.m_prompt_tokens};
  const std::weak_ptr<CompletionFlow> weak = weak_from_this();
  m_exchange->Watch(
      [weak] {
        const auto self = weak.lock();
        if (self && self->m_call && std::exchange(self->m_paused, false)) {
          self->m_call->Resume();
        }
      },
      [weak] {
        if (const auto self = weak.lock()) {
          self->OnCallerLeft();
        }
      });
  m_deadline = m_exchange->request().m_received_at + m_patience;
  ArmDeadline(m_deadline - m_context.m_loop.Now());
  const std::uint64_t tokens = m_body.m_prompt_tokens + m_body.m_max_tokens;
  // Keeps the flow alive, so that the tokens are refunded even if the request
  // has ended before they are admitted.
  m_context.m_tokens.Reserve(
      m_principal->m_id, tokens, m_patience / kTokenWaitDivisor,
      [self = shared_from_this(), tokens](const Result<TokenDecision>& result) {
        if (!self->m_ended) {
          self->OnTokenDecision(result);
        } else if (result && result.value().m_admitted) {
          self->m_context.m_tokens.Refund(self->m_principal->m_id, tokens);
        }
      });
}

void CompletionFlow::OnTokenDecision(const Result<TokenDecision>& decision) {
  m_token_wait = m_context.m_loop.Now() - m_exchange->request().m_received_at;
  if (!decision) {
    Refuse({.m_kind = ProblemKind::kRateUnavailable,
            .m_detail = "the account's rate shares cannot be reached",
            .m_retry_after = kRetryAfterFailure});
    return;
  }
  if (!decision.value().m_admitted) {
    Refuse({.m_kind = ProblemKind::kOverRate,
            .m_detail = "the account has no tokens left for this request",
            .m_retry_after = decision.value().m_retry_after});
    return;
  }
  m_tokens_reserved = true;
  Route();
}

EngineJob CompletionFlow::MakeJob() {
  const std::weak_ptr<CompletionFlow> weak = weak_from_this();
  return {
      .m_request = {.m_id = m_id,
                    .m_account = m_principal->m_id,
                    .m_weight = m_principal->m_account->m_weight,
                    .m_tokens = m_body.m_prompt_tokens + m_body.m_max_tokens,
                    .m_deadline = m_deadline,
                    .m_served_name = m_served_name},
      .m_prefix = m_prefix,
      .m_avoid = m_failed_endpoints,
      .m_dispatch =
          [weak](const routing::EndpointRecord& endpoint) {
            if (const auto self = weak.lock()) {
              self->StartCall(endpoint);
            }
          },
      .m_replica_lost =
          [weak] {
            if (const auto self = weak.lock()) {
              self->WaitForReplica();
            }
          }};
}

void CompletionFlow::Route() {
  const SubmitResult result = m_context.m_dispatcher.Submit(MakeJob());
  if (result.m_outcome == SubmitOutcome::kNoReplica) {
    WaitForReplica();
  } else if (result.m_outcome == SubmitOutcome::kRefused) {
    Refuse({.m_kind = ProblemKind::kPatienceExceeded,
            .m_detail = "the first answer is expected after the deadline",
            .m_retry_after = result.m_admission.m_retry_after});
  }
}

void CompletionFlow::WaitForReplica() {
  m_cold_start = true;
  m_context.m_demand.Wait(
      {.m_id = m_id,
       .m_served_name = m_served_name,
       .m_artifact = m_artifact,
       .m_account = m_principal->m_id,
       .m_weight = m_principal->m_account->m_weight,
       .m_deadline = m_deadline -
                     m_context.m_dispatcher.ExpectedFirstAnswer(m_served_name),
       .m_callback = [weak = weak_from_this()](const DemandResult& result) {
         if (const auto self = weak.lock()) {
           self->OnDemandResult(result);
         }
       }});
}

void CompletionFlow::OnDemandResult(const DemandResult& result) {
  if (m_ended) {
    return;
  }
  if (result.m_ready) {
    Route();
    return;
  }
  if (result.m_too_late) {
    Refuse({.m_kind = ProblemKind::kPatienceExceeded,
            .m_detail = "the model is loading and ready after the deadline",
            .m_retry_after = result.m_retry_after});
    return;
  }
  m_store_limited = result.m_reason == "store";
  Refuse({.m_kind = ProblemKind::kNoCapacity,
          .m_detail = "the model cannot be loaded: " + result.m_reason,
          .m_retry_after = result.m_retry_after});
}

void CompletionFlow::StartCall(const routing::EndpointRecord& endpoint) {
  ++m_attempts;
  m_context.m_demand.ReportUse(m_served_name, m_artifact, m_principal->m_id);
  m_endpoint = endpoint.m_id;
  m_call_started = m_context.m_loop.Now();
  // Unpredictable, and different for each call of the request.
  const std::string request_id =
      std::to_string(m_context.m_random()) + "-" + std::to_string(m_id);
  kLog.Debug("Calling an engine.",
             {{"endpoint", endpoint.m_id.value()}, {"request", request_id}});
  m_call = std::make_unique<EngineCall>(request_id, MakeEvents());
  m_call_sent = true;
  m_call->Start(m_context.m_client, MakeCallRequest(endpoint, request_id));
}

endpoint::CallRequest CompletionFlow::MakeCallRequest(
    const routing::EndpointRecord& endpoint,
    const std::string& request_id) {
  endpoint::CallRequest request{
      .m_endpoint = {.m_id = endpoint.m_id,
                     .m_address = endpoint.m_address,
                     .m_port = endpoint.m_port},
      .m_method = endpoint::HttpMethod::kPost,
      .m_target = m_exchange->request().m_path,
      .m_headers = {{"Content-Type", "application/json"},
                    {"X-Request-Id", request_id},
                    {"X-Priority",
                     std::to_string(PriorityOf(*m_principal->m_account))}},
      .m_body = m_rendered_body,
      .m_idle_timeout = m_context.m_settings.m_endpoint_idle_timeout};
  if (m_delivered_tokens > 0) {
    request.m_headers.push_back(
        {"X-Resume-From", std::to_string(m_delivered_tokens)});
  }
  return request;
}

EngineCallEvents CompletionFlow::MakeEvents() {
  // The flow owns the call, so no event runs after the flow is destroyed. The
  // handlers that may end the request keep the flow alive until they return.
  return {
      .m_load = [this](const EngineLoad& load) { OnLoad(load); },
      .m_events =
          [this](const endpoint::SseBatch& batch) {
            const auto keep_alive = shared_from_this();
            OnEvents(batch);
          },
      .m_done =
          [this](const endpoint::AnswerHead& head, const std::string& body) {
            const auto keep_alive = shared_from_this();
            OnDone(head, body);
          },
      .m_failed =
          [this](const EngineFailure& failure) {
            const auto keep_alive = shared_from_this();
            OnFailed(failure);
          }};
}

void CompletionFlow::OnLoad(const EngineLoad& load) {
  m_context.m_dispatcher.OnReport(m_endpoint,
                                  {.m_waiting = load.m_waiting,
                                   .m_running = load.m_running,
                                   .m_taken_at = m_context.m_loop.Now()});
}

void CompletionFlow::OnEvents(const endpoint::SseBatch& batch) {
  if (!m_stream_started) {
    m_stream_started = true;
    OnFirstAnswer();
    endpoint::HeaderFields headers = EchoedHeaders(m_exchange->request());
    headers.push_back({"Content-Type", "text/event-stream"});
    headers.push_back({"Cache-Control", "no-cache"});
    constexpr int kStatusOk = 200;
    m_exchange->StartStream(kStatusOk, headers);
  }
  m_deadline_timer.reset();
  m_delivered_tokens += batch.m_tokens;
  if (batch.m_has_finish_reason) {
    m_finish_reason_relayed = true;
    if (const auto usage = FindUsage(batch.m_text)) {
      m_usage = *usage;
    }
  }
  m_exchange->SendChunk(batch.m_text);
  if (batch.m_done_marker) {
    FinishStream();
    return;
  }
  if (m_exchange->PendingBytes() >
      m_context.m_settings.m_caller.m_stream_buffer_bytes) {
    m_paused = true;
    m_call->Pause();
  }
}

void CompletionFlow::FinishStream() {
  m_series.m_completions->Add();
  m_exchange->EndStream();
  End();
}

void CompletionFlow::OnDone(const endpoint::AnswerHead& head,
                            const std::string& body) {
  if (m_ended) {
    return;
  }
  constexpr int kFirstErrorStatus = 400;
  OnFirstAnswer();
  if (head.m_status < kFirstErrorStatus) {
    m_series.m_completions->Add();
    m_delivered_tokens = m_body.m_max_tokens;
    if (const auto usage = FindUsage(body)) {
      m_usage = *usage;
      m_delivered_tokens = usage->m_completion_tokens;
    }
  }
  endpoint::HeaderFields headers = EchoedHeaders(m_exchange->request());
  const std::string* type =
      endpoint::FindHeader(head.m_headers, "Content-Type");
  headers.push_back(
      {"Content-Type", type == nullptr ? "application/json" : *type});
  m_exchange->Send(head.m_status, headers, body);
  End();
}

void CompletionFlow::OnFailed(const EngineFailure& failure) {
  if (m_ended) {
    return;
  }
  kLog.Warn("A completion call to an engine failed.",
            {{"endpoint", m_endpoint.value()}, {"error", failure.m_detail}});
  if (failure.m_wrong_id) {
    m_context.m_metrics.CountMismatchedId();
  }
  const EndpointId endpoint = m_endpoint;
  EndCall();
  if (m_finish_reason_relayed) {
    // All output was relayed; only the final marker is missing.
    m_exchange->SendChunk("data: [DONE]\n\n");
    FinishStream();
    return;
  }
  if (failure.m_kind == EngineFailureKind::kNotLoaded) {
    m_context.m_table.MarkNotLoaded(endpoint, m_served_name);
    m_context.m_dispatcher.OnTableChanged();
  } else if (failure.m_kind == EngineFailureKind::kLeaving) {
    m_context.m_table.MarkLeaving(endpoint, m_context.m_loop.Now());
    m_context.m_dispatcher.OnTableChanged();
  } else {
    m_failed_endpoints.push_back(endpoint);
  }
  if (MayRetry(failure)) {
    Retry();
    return;
  }
  const bool has_not_run = failure.m_kind != EngineFailureKind::kMayHaveRun &&
                           m_attempts == m_reroutes + 1;
  Refuse({.m_kind = ProblemKind::kEndpointFailed,
          .m_detail = "the engine failed: " + failure.m_detail,
          .m_outcome = has_not_run ? ExecutionOutcome::kNotRun
                                   : ExecutionOutcome::kUnknown,
          .m_retry_after = kRetryAfterFailure});
}

bool CompletionFlow::MayRetry(const EngineFailure& failure) {
  const bool may_reroute = failure.m_kind == EngineFailureKind::kNotLoaded ||
                           failure.m_kind == EngineFailureKind::kLeaving;
  if (may_reroute && m_reroutes < kMaxReroutes) {
    ++m_reroutes;
    return true;
  }
  if (m_stream_started) {
    if (m_resumes >= kMaxResumes) {
      return false;
    }
    ++m_resumes;
    m_context.m_metrics.CountResume();
    return true;
  }
  const bool allowed = m_context.m_retries.TryRetry(
      {.m_idempotent = true,
       .m_answer_started = false,
       .m_attempts = static_cast<std::uint32_t>(m_attempts),
       .m_time_left = m_deadline - m_context.m_loop.Now(),
       .m_time_needed =
           m_context.m_dispatcher.ExpectedFirstAnswer(m_served_name)});
  if (allowed) {
    m_context.m_metrics.CountRetry();
  }
  return allowed;
}

void CompletionFlow::Retry() {
  if (m_stream_started) {
    m_deadline = m_context.m_loop.Now() + m_patience;
    ArmDeadline(m_patience);
  }
  Route();
}

void CompletionFlow::EndCall() {
  if (m_call) {
    m_paused = false;
    m_call.reset();
    m_context.m_dispatcher.OnCallEnded(std::exchange(m_endpoint, EndpointId()));
  }
}

void CompletionFlow::OnFirstAnswer() {
  const MonotonicTime now = m_context.m_loop.Now();
  const Duration time = now - m_exchange->request().m_received_at;
  m_deadline_timer.reset();
  m_series.m_first_answer->Record(time);
  m_context.m_dispatcher.OnFirstAnswer(m_served_name, now - m_call_started);
  if (m_cold_start) {
    m_context.m_metrics.RecordColdStart(m_principal->m_id, time);
  }
  if (time <= m_principal->m_document->m_objectives.m_first_answer) {
    return;
  }
  LateCause cause = LateCause::kEndpoint;
  if (m_cold_start) {
    cause = m_store_limited ? LateCause::kStore : LateCause::kColdStart;
  } else if (m_token_wait > time / kRateCauseDivisor) {
    cause = LateCause::kRate;
  }
  m_context.m_metrics.CountLate(m_principal->m_id, kCompletionKind, cause);
}

void CompletionFlow::ArmDeadline(Duration patience) {
  m_deadline_timer =
      m_context.m_loop.After(patience, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->OnDeadline();
        }
      });
}

void CompletionFlow::OnDeadline() {
  Refuse({.m_kind = ProblemKind::kPatienceExceeded,
          .m_detail = "no answer came before the deadline",
          .m_outcome = m_call_sent ? ExecutionOutcome::kUnknown
                                   : ExecutionOutcome::kNotRun,
          .m_retry_after = kRetryAfterFailure});
}

void CompletionFlow::AbortForWithdrawnKey() {
  Refuse({.m_kind = ProblemKind::kKeyWithdrawn,
          .m_detail = "the key was withdrawn while the request ran",
          .m_outcome = m_call_sent ? ExecutionOutcome::kUnknown
                                   : ExecutionOutcome::kNotRun});
}

void CompletionFlow::Abort() {
  Refuse({.m_kind = ProblemKind::kDraining,
          .m_detail = "this host stops and its limit has passed",
          .m_outcome = m_call_sent ? ExecutionOutcome::kUnknown
                                   : ExecutionOutcome::kNotRun,
          .m_retry_after = kRetryAfterFailure});
}

void CompletionFlow::OnCallerLeft() {
  if (m_ended) {
    return;
  }
  m_context.m_metrics.CountCallerDisconnected();
  End();
}

void CompletionFlow::Refuse(const Problem& problem) {
  if (m_ended) {
    return;
  }
  const auto keep_alive = shared_from_this();
  const bool within_rate = problem.m_kind != ProblemKind::kOverRate;
  m_context.m_metrics.CountRefusal(m_principal->m_id, kCompletionKind,
                                   problem.m_kind, within_rate);
  if (m_stream_started) {
    m_exchange->SendChunk(FormatProblemEvent(problem));
    m_exchange->EndStream();
  } else {
    SendProblem(*m_exchange, problem);
  }
  End();
}

void CompletionFlow::End() {
  m_ended = true;
  m_deadline_timer.reset();
  const auto keep_alive = shared_from_this();
  m_context.m_dispatcher.Cancel(m_id);
  m_context.m_demand.Cancel(m_id);
  EndCall();
  SettleTokens();
  m_context.m_running.Remove(m_id);
}

void CompletionFlow::SettleTokens() {
  if (!m_tokens_reserved) {
    return;
  }
  const std::uint64_t reserved = m_body.m_prompt_tokens + m_body.m_max_tokens;
  const std::uint64_t output =
      std::max(m_delivered_tokens, m_usage.m_completion_tokens);
  const std::uint64_t used = m_call_sent ? m_usage.m_prompt_tokens + output : 0;
  if (used < reserved) {
    m_context.m_tokens.Refund(m_principal->m_id, reserved - used);
  } else if (used > reserved) {
    // The estimate was too low. Reserves the missing tokens too, and ignores
    // the result since the request has already run.
    m_context.m_tokens.Reserve(m_principal->m_id, used - reserved, Duration{},
                               [](const Result<TokenDecision>&) {});
  }
  if (m_call_sent) {
    m_context.m_dispatcher.AdjustCharge(
        m_principal->m_id, m_principal->m_account->m_weight,
        static_cast<double>(used) - static_cast<double>(reserved));
  }
}

}  // namespace hickoryloft::entry
