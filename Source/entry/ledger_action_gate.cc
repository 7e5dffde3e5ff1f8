#include "entry/ledger_action_gate.h"

#include <algorithm>
#include <utility>

#include "base/random.h"
#include "wire/frame.h"

namespace hickoryloft::entry {

namespace {

// Longest time for which ActionBegin is retried while a ledger shard moves to
// another host.
constexpr Duration kMaxShardMoveWait = seconds(2);

constexpr Duration kShardMoveRetryDelay = milliseconds(100);
constexpr Duration kFinishTimeout = seconds(1);
constexpr Duration kFinishRetryDelay = milliseconds(300);
constexpr Duration kFinishRetryLimit = seconds(10);

BeginVerdict ToVerdict(wire::ActionVerdict verdict) {
  switch (verdict) {
    case wire::ActionVerdict::Run:
      return BeginVerdict::kRun;
    case wire::ActionVerdict::Answered:
      return BeginVerdict::kAnswered;
    case wire::ActionVerdict::InProgress:
      return BeginVerdict::kInProgress;
    case wire::ActionVerdict::Unknown:
      return BeginVerdict::kUnknown;
    case wire::ActionVerdict::Mismatch:
      return BeginVerdict::kMismatch;
    case wire::ActionVerdict::Refused:
      break;
  }
  return BeginVerdict::kRefused;
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
  return {.m_verdict = ToVerdict(reply.verdict),
          .m_attempt = attempt,
          .m_send_deadline = sent_at + milliseconds(reply.valid_for_ms),
          .m_answer = {.m_status = reply.status,
                       .m_content_type = reply.content_type,
                       .m_body = reply.body},
          .m_retry_after = milliseconds(reply.retry_after_ms)};
}

// Returns whether a failed ActionBegin is certain to have left no record.
bool LeftNoRecord(const Error& error) {
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
  const std::uint64_t call_id = m_next_call_id++;
  BeginCall& state = m_begins[call_id];
  state.m_request = request;
  state.m_attempt = RandomBits();
  state.m_deadline = m_loop.Now() + limit;
  state.m_shard_move_deadline = m_loop.Now() + kMaxShardMoveWait;
  state.m_callback = std::move(callback);
  SendBegin(call_id);
}

void LedgerActionGate::SendBegin(std::uint64_t call_id) {
  const BeginCall& state = m_begins.at(call_id);
  wire::ActionBeginT begin;
  begin.account = state.m_request.m_account.value();
  begin.key = state.m_request.m_key;
  begin.request_digest = state.m_request.m_request_digest;
  begin.service = state.m_request.m_service.value();
  begin.route = state.m_request.m_route;
  begin.attempt = state.m_attempt;
  const MonotonicTime sent_at = m_loop.Now();
  m_link.Request(wire::MakeEnvelope(std::move(begin)),
                 state.m_deadline - sent_at,
                 [this, call_id, sent_at, alive = std::weak_ptr<bool>(m_alive)](
                     const Result<wire::EnvelopeT>& reply) {
                   if (!alive.expired()) {
                     OnBeginReply(call_id, sent_at, reply);
                   }
                 });
}

void LedgerActionGate::OnBeginReply(std::uint64_t call_id,
                                    MonotonicTime sent_at,
                                    const Result<wire::EnvelopeT>& reply) {
  if (!reply.ok()) {
    if (LeftNoRecord(reply.error()) &&
        RetryBegin(call_id, kShardMoveRetryDelay)) {
      return;
    }
    EndBegin(call_id, reply.error());
    return;
  }
  const auto* begin_reply = reply.value().body.AsActionBeginReply();
  if (begin_reply == nullptr) {
    EndBegin(call_id,
             Error(ErrorCode::kProtocol,
                   "the reply to ActionBegin is not an ActionBeginReply"));
    return;
  }
  const bool shard_is_moving =
      begin_reply->verdict == wire::ActionVerdict::Refused &&
      milliseconds(begin_reply->retry_after_ms) <= kShardMoveRetryDelay;
  if (shard_is_moving && RetryBegin(call_id, kShardMoveRetryDelay)) {
    return;
  }
  EndBegin(call_id,
           ToDecision(*begin_reply, m_begins.at(call_id).m_attempt, sent_at));
}

bool LedgerActionGate::RetryBegin(std::uint64_t call_id, Duration delay) {
  BeginCall& state = m_begins.at(call_id);
  if (m_loop.Now() + delay >=
      std::min(state.m_deadline, state.m_shard_move_deadline)) {
    return false;
  }
  state.m_retry_timer =
      m_loop.After(delay, [this, call_id] { SendBegin(call_id); });
  return true;
}

void LedgerActionGate::EndBegin(std::uint64_t call_id,
                                Result<ActionDecision> result) {
  const BeginCall state = std::move(m_begins.at(call_id));
  m_begins.erase(call_id);
  if (!result.ok() && !LeftNoRecord(result.error())) {
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
  const std::uint64_t call_id = m_next_call_id++;
  FinishCall& state = m_finishes[call_id];
  state.m_message.account = request.m_account.value();
  state.m_message.key = request.m_key;
  state.m_message.attempt = attempt;
  state.m_message.outcome = ToOutcome(result);
  state.m_message.status = answer.m_status;
  state.m_message.content_type = answer.m_content_type;
  state.m_message.body = answer.m_body;
  state.m_deadline = m_loop.Now() + kFinishRetryLimit;
  state.m_recorded = std::move(recorded);
  SendFinish(call_id);
}

void LedgerActionGate::SendFinish(std::uint64_t call_id) {
  m_link.Request(wire::MakeEnvelope(m_finishes.at(call_id).m_message),
                 kFinishTimeout,
                 [this, call_id, alive = std::weak_ptr<bool>(m_alive)](
                     const Result<wire::EnvelopeT>& reply) {
                   if (!alive.expired()) {
                     OnFinishReply(call_id, reply);
                   }
                 });
}

void LedgerActionGate::OnFinishReply(std::uint64_t call_id,
                                     const Result<wire::EnvelopeT>& reply) {
  const auto* finish_reply =
      reply.ok() ? reply.value().body.AsActionFinishReply() : nullptr;
  const bool recorded = finish_reply != nullptr && finish_reply->recorded;
  FinishCall& state = m_finishes.at(call_id);
  if (!recorded && m_loop.Now() + kFinishRetryDelay < state.m_deadline) {
    state.m_retry_timer = m_loop.After(
        kFinishRetryDelay, [this, call_id] { SendFinish(call_id); });
    return;
  }
  const auto callback = std::move(state.m_recorded);
  m_finishes.erase(call_id);
  callback(recorded);
}

}  // namespace hickoryloft::entry
