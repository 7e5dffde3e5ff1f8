#include "entry/ledger_action_gate.h"

#include <algorithm>
#include <utility>

#include "base/random.h"
#include "wire/frame.h"

namespace hickoryloft::entry {

namespace {

// Longest time for which ActionBegin is retried while a ledger shard moves to
// another host.
constexpr Duration kMaxMoveWait = seconds(2);

constexpr Duration kMoveRetryDelay = milliseconds(100);
constexpr Duration kFinishTimeout = seconds(1);
constexpr Duration kFinishRetryDelay = milliseconds(300);
constexpr Duration kFinishLimit = seconds(10);

ActionStep ToStep(wire::ActionVerdict verdict) {
  switch (verdict) {
    case wire::ActionVerdict::Run:
      return ActionStep::kRun;
    case wire::ActionVerdict::Answered:
      return ActionStep::kAnswered;
    case wire::ActionVerdict::InProgress:
      return ActionStep::kInProgress;
    case wire::ActionVerdict::Unknown:
      return ActionStep::kUnknown;
    case wire::ActionVerdict::Mismatch:
      return ActionStep::kMismatch;
    case wire::ActionVerdict::Refused:
      break;
  }
  return ActionStep::kRefused;
}

wire::ActionOutcome ToOutcome(ActionResult result) {
  switch (result) {
    case ActionResult::kAnswered:
      return wire::ActionOutcome::Answered;
    case ActionResult::kNotRun:
      return wire::ActionOutcome::NotRun;
    case ActionResult::kUnknown:
      break;
  }
  return wire::ActionOutcome::Unknown;
}

ActionDecision ToDecision(const wire::ActionBeginReplyT& reply,
                          std::uint64_t attempt,
                          MonotonicTime sent_at) {
  return {.m_step = ToStep(reply.verdict),
          .m_attempt = attempt,
          .m_send_before = sent_at + milliseconds(reply.valid_for_ms),
          .m_answer = {.m_status = reply.status,
                       .m_content_type = reply.content_type,
                       .m_body = reply.body},
          .m_retry_after = milliseconds(reply.retry_after_ms)};
}

// Returns whether a failed ActionBegin is certain to have left no record.
bool HadNoEffect(const Error& error) {
  return error.code() == ErrorCode::kUnavailable ||
         error.code() == ErrorCode::kFenced ||
         error.code() == ErrorCode::kNotFound;
}

}  // namespace

LedgerActionGate::LedgerActionGate(EventLoop& loop, CoordinatorLink& link)
    : m_loop(loop), m_link(link) {}

void LedgerActionGate::Begin(
    const ActionRequest& request,
    Duration limit,
    std::function<void(Result<ActionDecision>)> callback) {
  const std::uint64_t call = m_next_call++;
  BeginCall& state = m_begins[call];
  state.m_request = request;
  state.m_attempt = RandomBits();
  state.m_give_up_at = m_loop.Now() + limit;
  state.m_move_until = m_loop.Now() + kMaxMoveWait;
  state.m_callback = std::move(callback);
  SendBegin(call);
}

void LedgerActionGate::SendBegin(std::uint64_t call) {
  const BeginCall& state = m_begins.at(call);
  wire::ActionBeginT begin;
  begin.account = state.m_request.m_account.value();
  begin.key = state.m_request.m_key;
  begin.request_digest = state.m_request.m_request_digest;
  begin.service = state.m_request.m_service.value();
  begin.route = state.m_request.m_route;
  begin.attempt = state.m_attempt;
  const MonotonicTime sent_at = m_loop.Now();
  m_link.Request(wire::MakeEnvelope(std::move(begin)),
                 state.m_give_up_at - sent_at,
                 [this, call, sent_at, alive = std::weak_ptr<bool>(m_alive)](
                     const Result<wire::EnvelopeT>& reply) {
                   if (!alive.expired()) {
                     OnBeginReply(call, sent_at, reply);
                   }
                 });
}

void LedgerActionGate::OnBeginReply(std::uint64_t call,
                                    MonotonicTime sent_at,
                                    const Result<wire::EnvelopeT>& reply) {
  if (!reply.ok()) {
    if (HadNoEffect(reply.error()) && RetryBegin(call, kMoveRetryDelay)) {
      return;
    }
    EndBegin(call, reply.error());
    return;
  }
  const auto* begun = reply.value().body.AsActionBeginReply();
  if (begun == nullptr) {
    EndBegin(call,
             Error(ErrorCode::kProtocol,
                   "the reply to ActionBegin is not an ActionBeginReply"));
    return;
  }
  const bool moving = begun->verdict == wire::ActionVerdict::Refused &&
                      milliseconds(begun->retry_after_ms) <= kMoveRetryDelay;
  if (moving && RetryBegin(call, kMoveRetryDelay)) {
    return;
  }
  EndBegin(call, ToDecision(*begun, m_begins.at(call).m_attempt, sent_at));
}

bool LedgerActionGate::RetryBegin(std::uint64_t call, Duration delay) {
  BeginCall& state = m_begins.at(call);
  if (m_loop.Now() + delay >=
      std::min(state.m_give_up_at, state.m_move_until)) {
    return false;
  }
  state.m_retry = m_loop.After(delay, [this, call] { SendBegin(call); });
  return true;
}

void LedgerActionGate::EndBegin(std::uint64_t call,
                                Result<ActionDecision> result) {
  const BeginCall state = std::move(m_begins.at(call));
  m_begins.erase(call);
  if (!result.ok() && !HadNoEffect(result.error())) {
    // The ledger may have recorded the attempt as started, but nothing is sent.
    Finish(state.m_request, state.m_attempt, ActionResult::kNotRun, {},
           [](bool) {});
  }
  state.m_callback(std::move(result));
}

void LedgerActionGate::Finish(const ActionRequest& request,
                              std::uint64_t attempt,
                              ActionResult result,
                              const RecordedAnswer& answer,
                              std::function<void(bool)> recorded) {
  const std::uint64_t call = m_next_call++;
  FinishCall& state = m_finishes[call];
  state.m_message.account = request.m_account.value();
  state.m_message.key = request.m_key;
  state.m_message.attempt = attempt;
  state.m_message.outcome = ToOutcome(result);
  state.m_message.status = answer.m_status;
  state.m_message.content_type = answer.m_content_type;
  state.m_message.body = answer.m_body;
  state.m_give_up_at = m_loop.Now() + kFinishLimit;
  state.m_recorded = std::move(recorded);
  SendFinish(call);
}

void LedgerActionGate::SendFinish(std::uint64_t call) {
  m_link.Request(wire::MakeEnvelope(m_finishes.at(call).m_message),
                 kFinishTimeout,
                 [this, call, alive = std::weak_ptr<bool>(m_alive)](
                     const Result<wire::EnvelopeT>& reply) {
                   if (!alive.expired()) {
                     OnFinishReply(call, reply);
                   }
                 });
}

void LedgerActionGate::OnFinishReply(std::uint64_t call,
                                     const Result<wire::EnvelopeT>& reply) {
  const auto* finished =
      reply.ok() ? reply.value().body.AsActionFinishReply() : nullptr;
  const bool recorded = finished != nullptr && finished->recorded;
  FinishCall& state = m_finishes.at(call);
  if (!recorded && m_loop.Now() + kFinishRetryDelay < state.m_give_up_at) {
    state.m_retry =
        m_loop.After(kFinishRetryDelay, [this, call] { SendFinish(call); });
    return;
  }
  const auto callback = std::move(state.m_recorded);
  m_finishes.erase(call);
  callback(recorded);
}

}  // namespace hickoryloft::entry
