#include "entry/service_flow.h"

#include <algorithm>
#include <utility>

#include "base/hashing.h"
#include "base/log.h"
#include "entry/credentials.h"
#include "entry/reply.h"

namespace hickoryloft::entry {

namespace {

constexpr Duration kRetryAfterFailure = seconds(1);
constexpr int kTokenWaitDivisor = 2;

const Logger kLog("services");

// The account under which requests to open routes are counted.
const ClientAccountId kOpenRouteAccount("open");

std::string RequestDigest(const CallerRequest& request,
                          const std::string& target) {
  const auto method = static_cast<int>(request.m_method);
  return SaltedDigest(std::to_string(method) + " " + target + "\n",
                      request.m_body);
}

std::string RequestKind(const documents::RouteSpec& route) {
  return route.m_kind.empty() ? kDefaultRouteKind : route.m_kind;
}

}  // namespace

ServiceFlow::ServiceFlow(EntryContext& context,
                         std::shared_ptr<CallerExchange> exchange,
                         ServiceRequest request)
    : m_context(context),
      m_exchange(std::move(exchange)),
      m_request(std::move(request)),
      m_kind(RequestKind(*m_request.m_route)),
      m_series(context.m_metrics.Series(m_request.m_principal
                                            ? m_request.m_principal->m_id
                                            : kOpenRouteAccount,
                                        m_kind)),
      m_id(context.m_running.NextId()) {}

void ServiceFlow::Start() {
  m_context.m_running.Add(m_id, shared_from_this());
  m_context.m_retries.OnRequest();
  m_series.m_requests->Add();
  const std::weak_ptr<ServiceFlow> weak = weak_from_this();
  m_exchange->Watch(nullptr, [weak] {
    if (const auto self = weak.lock()) {
      self->OnCallerLeft();
    }
  });
  m_deadline = m_exchange->request().m_received_at + m_request.m_patience;
  m_deadline_timer =
      m_context.m_loop.After(m_deadline - m_context.m_loop.Now(), [weak] {
        if (const auto self = weak.lock()) {
          self->OnDeadline();
        }
      });
  ReserveTokens();
}

void ServiceFlow::ReserveTokens() {
  const std::uint64_t cost = m_request.m_route->m_cost_tokens;
  if (!m_request.m_principal || cost == 0) {
    OnTokenDecision(TokenDecision{.m_admitted = true});
    return;
  }
  const ClientAccountId account = m_request.m_principal->m_id;
  m_context.m_tokens.Reserve(
      account, cost, m_request.m_patience / kTokenWaitDivisor,
      [self = shared_from_this(), account,
       cost](const Result<TokenDecision>& decision) {
        if (self->m_caller_waiting) {
          self->m_tokens_reserved = decision && decision.value().m_admitted;
          self->OnTokenDecision(decision);
        } else if (decision && decision.value().m_admitted) {
          self->m_context.m_tokens.Refund(account, cost);
        }
      });
}

void ServiceFlow::OnTokenDecision(const Result<TokenDecision>& decision) {
  if (!decision) {
    Refuse({.m_kind = ProblemKind::kRateUnavailable,
            .m_detail = "the account's rate shares cannot be reached",
            .m_retry_after = kRetryAfterFailure});
    RemoveIfDone();
    return;
  }
  if (!decision.value().m_admitted) {
    Refuse({.m_kind = ProblemKind::kOverRate,
            .m_detail = "the account has no tokens left for this request",
            .m_retry_after = decision.value().m_retry_after});
    RemoveIfDone();
    return;
  }
  const std::string* key =
      endpoint::FindHeader(m_exchange->request().m_headers, "Idempotency-Key");
  if (!m_request.m_route->m_idempotent && key != nullptr &&
      m_request.m_principal) {
    BeginAction(*key);
    return;
  }
  CallEndpoint(std::nullopt);
}

void ServiceFlow::BeginAction(const std::string& key) {
  m_action = ActionRequest{.m_account = m_request.m_principal->m_id,
                           .m_key = key,
                           .m_request_digest = RequestDigest(
                               m_exchange->request(), m_request.m_target),
                           .m_service = m_request.m_service,
                           .m_route = m_request.m_route->m_path};
  m_call_pending = true;
  m_context.m_actions.Begin(
      *m_action, m_deadline - m_context.m_loop.Now(),
      [self = shared_from_this()](const Result<ActionDecision>& decision) {
        self->OnActionDecision(decision);
      });
}

void ServiceFlow::OnActionDecision(const Result<ActionDecision>& decision) {
  m_call_pending = false;
  if (!decision) {
    m_action.reset();
    const bool may_have_run =
        decision.error().code() == ErrorCode::kOutcomeUnknown ||
        decision.error().code() == ErrorCode::kTimedOut;
    Refuse({.m_kind = ProblemKind::kActionRefused,
            .m_detail = "the action ledger cannot be reached",
            .m_outcome = may_have_run ? ExecutionOutcome::kUnknown
                                      : ExecutionOutcome::kNotRun,
            .m_retry_after = kRetryAfterFailure});
    RemoveIfDone();
    return;
  }
  if (decision.value().m_verdict != BeginVerdict::kRun) {
    m_action.reset();
    OnActionNotRun(decision.value());
    RemoveIfDone();
    return;
  }
  m_action_attempt = decision.value().m_attempt;
  if (!m_caller_waiting) {
    // The caller no longer waits, and nothing was sent.
    RecordAction(ActionResult::kNotRun, {});
    return;
  }
  CallEndpoint(decision.value().m_send_deadline);
}

void ServiceFlow::OnActionNotRun(const ActionDecision& decision) {
  switch (decision.m_verdict) {
    case BeginVerdict::kRun:
      return;
    case BeginVerdict::kAnswered:
      SendAnswer({.m_head = {.m_status = decision.m_answer.m_status,
                             .m_headers = {{"Content-Type",
                                            decision.m_answer.m_content_type}}},
                  .m_body = decision.m_answer.m_body});
      return;
    case BeginVerdict::kInProgress:
      Refuse({.m_kind = ProblemKind::kActionInProgress,
              .m_detail = "a request with this Idempotency-Key is running",
              .m_outcome = ExecutionOutcome::kUnknown,
              .m_retry_after = decision.m_retry_after});
      return;
    case BeginVerdict::kUnknown:
      Refuse({.m_kind = ProblemKind::kActionUnknown,
              .m_detail = "a request with this Idempotency-Key was started and "
                          "its fate is not known; it is not run again",
              .m_outcome = ExecutionOutcome::kUnknown});
      return;
    case BeginVerdict::kMismatch:
      Refuse({.m_kind = ProblemKind::kActionMismatch,
              .m_detail = "this Idempotency-Key belongs to another request"});
      return;
    case BeginVerdict::kRefused:
      Refuse({.m_kind = ProblemKind::kActionRefused,
              .m_detail = "the action ledger takes no new action now",
              .m_retry_after = decision.m_retry_after});
      return;
  }
}

const routing::EndpointRecord* ServiceFlow::ChooseEndpoint() const {
  // Prefers endpoints that have not failed this request, then the least loaded.
  const routing::EndpointRecord* best = nullptr;
  bool best_failed = false;
  double best_load = 0;
  const MonotonicTime now = m_context.m_loop.Now();
  const auto& candidates = m_context.m_table.Service(m_request.m_service);
  const std::size_t offset =
      candidates.empty() ? 0 : m_context.m_random() % candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto* candidate = candidates[(i + offset) % candidates.size()];
    const bool failed =
        std::find(m_failed_endpoints.begin(), m_failed_endpoints.end(),
                  candidate->m_id) != m_failed_endpoints.end();
    const double load = m_context.m_loads.Load(candidate->m_id, now);
    if (best == nullptr ||
        std::pair(failed, load) < std::pair(best_failed, best_load)) {
      best = candidate;
      best_failed = failed;
      best_load = load;
    }
  }
  return best;
}

void ServiceFlow::CallEndpoint(std::optional<MonotonicTime> send_deadline) {
  const routing::EndpointRecord* chosen = ChooseEndpoint();
  const MonotonicTime now = m_context.m_loop.Now();
  const bool may_send = !send_deadline || now < *send_deadline;
  if (chosen == nullptr || !may_send) {
    Refuse({.m_kind = ProblemKind::kNoCapacity,
            .m_detail = chosen == nullptr
                            ? "the service has no endpoint now"
                            : "the right to run the action has lapsed",
            .m_outcome =
                m_sent ? ExecutionOutcome::kUnknown : ExecutionOutcome::kNotRun,
            .m_retry_after = kRetryAfterFailure});
    if (m_action) {
      RecordAction(ActionResult::kNotRun, {});
    } else {
      RemoveIfDone();
    }
    return;
  }
  const std::string request_id =
      std::to_string(m_context.m_random()) + "-" + std::to_string(m_id);
  const bool idempotent = m_request.m_route->m_idempotent;
  const Duration limit = idempotent
                             ? m_deadline - now
                             : m_context.m_settings.m_action_answer_limit;
  const EndpointId endpoint = chosen->m_id;
  if (m_action && !m_context.m_executed.Insert(*m_action)) {
    m_context.m_metrics.CountDuplicateAction();
    kLog.Error("The action ledger allowed an action twice; sending it again.",
               {{"service", m_request.m_service.value()}});
  }
  m_call_pending = true;
  m_sent = true;
  ++m_attempts;
  m_context.m_loads.OnSent(endpoint, now);
  endpoint::StartBuffered(m_context.m_loop, m_context.m_client,
                          MakeCallRequest(*chosen, request_id),
                          {.m_time = limit},
                          [self = shared_from_this(), endpoint,
                           request_id](const Result<endpoint::Answer>& answer) {
                            self->OnAnswer(endpoint, request_id, answer);
                          });
}

endpoint::CallRequest ServiceFlow::MakeCallRequest(
    const routing::EndpointRecord& endpoint,
    const std::string& request_id) const {
  const CallerRequest& caller = m_exchange->request();
  endpoint::CallRequest request{
      .m_endpoint = {.m_id = endpoint.m_id,
                     .m_address = endpoint.m_address,
                     .m_port = endpoint.m_port},
      .m_method = caller.m_method,
      .m_target = m_request.m_target,
      .m_headers = ForwardableHeaders(caller.m_headers, m_request.m_caller_key),
      .m_body = caller.m_body,
      .m_fresh_connection = !m_request.m_route->m_idempotent,
      .m_idle_timeout = m_context.m_settings.m_endpoint_idle_timeout};
  request.m_headers.push_back({"X-Request-Id", request_id});
  return request;
}

void ServiceFlow::OnAnswer(const EndpointId& endpoint,
                           const std::string& request_id,
                           const Result<endpoint::Answer>& answer) {
  m_call_pending = false;
  m_context.m_loads.OnFinished(endpoint, m_context.m_loop.Now());
  if (!answer) {
    OnCallFailed(endpoint, answer.error());
    return;
  }
  const std::string* echoed =
      endpoint::FindHeader(answer.value().m_head.m_headers, "X-Request-Id");
  if (echoed != nullptr && *echoed != request_id) {
    m_context.m_metrics.CountMismatchedId();
    OnCallFailed(endpoint, Error(ErrorCode::kOutcomeUnknown,
                                 "the answer bears another request's id"));
    return;
  }
  SendAnswer(answer.value());
  if (!m_action) {
    RemoveIfDone();
    return;
  }
  const std::string* type =
      endpoint::FindHeader(answer.value().m_head.m_headers, "Content-Type");
  RecordAction(
      ActionResult::kAnswered,
      {.m_status = static_cast<std::uint16_t>(answer.value().m_head.m_status),
       .m_content_type = type == nullptr ? "" : *type,
       .m_body = answer.value().m_body});
}

void ServiceFlow::OnCallFailed(const EndpointId& endpoint, const Error& error) {
  kLog.Warn("A call to a service endpoint failed.",
            {{"endpoint", endpoint.value()}, {"error", error.what()}});
  m_failed_endpoints.push_back(endpoint);
  const bool not_sent = error.code() == ErrorCode::kUnavailable;
  const bool retry = m_caller_waiting &&
                     m_context.m_retries.TryRetry(
                         {.m_idempotent = m_request.m_route->m_idempotent,
                          .m_attempts = m_attempts,
                          .m_time_left = m_deadline - m_context.m_loop.Now()});
  if (retry) {
    m_context.m_metrics.CountRetry();
    CallEndpoint(std::nullopt);
    return;
  }
  const bool has_not_run = not_sent && m_attempts == 1;
  Refuse({.m_kind = ProblemKind::kEndpointFailed,
          .m_detail = std::string("the service failed: ") + error.what(),
          .m_outcome = has_not_run ? ExecutionOutcome::kNotRun
                                   : ExecutionOutcome::kUnknown,
          .m_retry_after = kRetryAfterFailure});
  if (m_action) {
    RecordAction(has_not_run ? ActionResult::kNotRun : ActionResult::kUnknown,
                 {});
  } else {
    RemoveIfDone();
  }
}

void ServiceFlow::RecordAction(ActionResult result,
                               const RecordedAnswer& answer) {
  m_call_pending = true;
  const ActionRequest action = *std::exchange(m_action, std::nullopt);
  if (result == ActionResult::kNotRun) {
    m_context.m_executed.Erase(action);
  }
  m_context.m_actions.Finish(
      action, m_action_attempt, result, answer,
      [self = shared_from_this()](bool recorded) {
        if (!recorded) {
          kLog.Warn(
              "The result of an action was not recorded in the action ledger.",
              {{"service", self->m_request.m_service.value()}});
        }
        self->m_call_pending = false;
        self->RemoveIfDone();
      });
}

void ServiceFlow::SendAnswer(const endpoint::Answer& answer) {
  if (!m_caller_waiting) {
    return;
  }
  RecordFirstAnswer();
  m_series.m_completions->Add();
  endpoint::HeaderFields headers =
      ForwardableHeaders(answer.m_head.m_headers, "");
  for (endpoint::HeaderField& field : EchoedHeaders(m_exchange->request())) {
    headers.push_back(std::move(field));
  }
  m_exchange->Send(answer.m_head.m_status, headers, answer.m_body);
  CloseCaller();
}

void ServiceFlow::RecordFirstAnswer() {
  const Duration time =
      m_context.m_loop.Now() - m_exchange->request().m_received_at;
  m_series.m_first_answer->Record(time);
  if (time > m_request.m_document->m_objectives.m_first_answer) {
    m_context.m_metrics.CountLate(
        m_request.m_principal ? m_request.m_principal->m_id : kOpenRouteAccount,
        m_kind, LateCause::kEndpoint);
  }
}

void ServiceFlow::OnDeadline() {
  Refuse({.m_kind = ProblemKind::kPatienceExceeded,
          .m_detail = "no answer came before the deadline",
          .m_outcome = m_sent || m_action ? ExecutionOutcome::kUnknown
                                          : ExecutionOutcome::kNotRun,
          .m_retry_after = kRetryAfterFailure});
  RemoveIfDone();
}

void ServiceFlow::AbortForWithdrawnKey() {
  Refuse({.m_kind = ProblemKind::kKeyWithdrawn,
          .m_detail = "the key was withdrawn while the request ran",
          .m_outcome = m_sent || m_action ? ExecutionOutcome::kUnknown
                                          : ExecutionOutcome::kNotRun});
  RemoveIfDone();
}

void ServiceFlow::Abort() {
  Refuse({.m_kind = ProblemKind::kDraining,
          .m_detail = "this host stops and its limit has passed",
          .m_outcome = m_sent || m_action ? ExecutionOutcome::kUnknown
                                          : ExecutionOutcome::kNotRun,
          .m_retry_after = kRetryAfterFailure});
  RemoveIfDone();
}

void ServiceFlow::OnCallerLeft() {
  if (!m_caller_waiting) {
    return;
  }
  m_context.m_metrics.CountCallerDisconnected();
  CloseCaller();
  RemoveIfDone();
}

void ServiceFlow::Refuse(const Problem& problem) {
  if (!m_caller_waiting) {
    return;
  }
  m_context.m_metrics.CountRefusal(
      m_request.m_principal ? m_request.m_principal->m_id : kOpenRouteAccount,
      m_kind, problem.m_kind, problem.m_kind != ProblemKind::kOverRate);
  SendProblem(*m_exchange, problem);
  CloseCaller();
}

void ServiceFlow::CloseCaller() {
  m_caller_waiting = false;
  m_deadline_timer.reset();
  if (m_tokens_reserved && !m_sent) {
    m_context.m_tokens.Refund(m_request.m_principal->m_id,
                              m_request.m_route->m_cost_tokens);
  }
  m_tokens_reserved = false;
}

void ServiceFlow::RemoveIfDone() {
  if (!m_caller_waiting && !m_call_pending) {
    m_context.m_running.Remove(m_id);
  }
}

}  // namespace hickoryloft::entry
