#include "actions/action_ledger.h"

#include <algorithm>
#include <utility>

namespace hickoryloft::actions {

namespace {

// Delay before a write, so that records that arrive meanwhile share its batch.
constexpr Duration kBatchDelay = milliseconds(2);
constexpr Duration kRetryInterval = milliseconds(500);
// Retry-after of refusals while a new holder reads the chain.
constexpr Duration kTakeOverRetryAfter = milliseconds(100);
constexpr Duration kOutageRetryAfter = seconds(2);
// A started action without an end record is reported as in progress for this
// long, then as unknown.
constexpr Duration kMaxRunTime = seconds(30);
constexpr Duration kPruneInterval = seconds(60);

BeginReply Refusal(std::uint64_t token, ErrorCode reason, Duration after) {
  return {.m_token = token,
          .m_verdict = BeginVerdict::kRefused,
          .m_reason = reason,
          .m_retry_after = after};
}

WallTime NewestTime(const std::vector<ActionRecord>& records) {
  WallTime newest{};
  for (const ActionRecord& record : records) {
    newest = std::max(newest, record.m_at);
  }
  return newest;
}

// Returns an upper bound of the record's size as JSON.
std::size_t MaxJsonBytes(const ActionRecord& record) {
  constexpr std::size_t kFixedBytes = 256;
  constexpr std::size_t kMaxEscape = 6;
  return kFixedBytes +
         kMaxEscape *
             (record.m_id.m_account.size() + record.m_id.m_key.size() +
              record.m_digest.size() + record.m_answer.m_content_type.size() +
              record.m_answer.m_body.size());
}

}  // namespace

ActionLedger::ActionLedger(LedgerOwner owner, LedgerLimits limits)
    : m_owner(owner), m_limits(limits) {}

LedgerEffects ActionLedger::Start() {
  LedgerEffects effects;
  m_reading = true;
  effects.m_read_chain = true;
  return effects;
}

LedgerEffects ActionLedger::OnChain(
    const std::optional<std::vector<StoredBatch>>& chain,
    LedgerTime time) {
  LedgerEffects effects;
  if (m_phase != Phase::kReading) {
    return effects;
  }
  m_reading = false;
  if (!chain) {
    m_retry_at = time.m_now + kRetryInterval;
    effects.m_wake_in = kRetryInterval;
    return effects;
  }
  m_next_sequence = chain->empty() ? 0 : chain->front().m_sequence;
  for (const StoredBatch& stored : *chain) {
    if (stored.m_sequence != m_next_sequence) {
      throw Error(ErrorCode::kProtocol,
                  "batches are missing from the chain of an action shard "
                  "before batch " +
                      std::to_string(stored.m_sequence));
    }
    const ActionBatch batch = ParseBatch(stored.m_text);
    if (batch.m_fence > m_owner.m_fence) {
      Fence(effects);  // The claim was lost during the read.
      return effects;
    }
    Replay(stored, batch, time);
  }
  m_phase = Phase::kTakingOver;
  WriteEpoch(time, effects);
  return effects;
}

void ActionLedger::Replay(const StoredBatch& stored,
                          const ActionBatch& batch,
                          LedgerTime time) {
  for (const ActionRecord& record : batch.m_records) {
    m_table.Apply(record, time.m_now + kMaxRunTime);
  }
  RecordBatch(stored.m_sequence, stored.m_revision, stored.m_text.size(),
              batch.m_records);
}

void ActionLedger::RecordBatch(std::uint64_t sequence,
                               Revision revision,
                               std::size_t bytes,
                               const std::vector<ActionRecord>& records) {
  m_chain.push_back({.m_sequence = sequence,
                     .m_revision = revision,
                     .m_bytes = bytes,
                     .m_newest = NewestTime(records)});
  m_chain_bytes += bytes;
  m_next_sequence = sequence + 1;
}

void ActionLedger::WriteEpoch(LedgerTime time, LedgerEffects& effects) {
  m_queue.push_front(
      {.m_record = {.m_kind = RecordKind::kEpoch, .m_at = time.m_wall}});
  WriteNext(effects);
}

LedgerEffects ActionLedger::Begin(const BeginRequest& request,
                                  LedgerTime time) {
  LedgerEffects effects;
  const bool waiting_to_retry = m_outage && time.m_now < m_retry_at;
  if (m_phase != Phase::kServing || waiting_to_retry ||
      (m_outage && m_writing)) {
    const Duration after = m_outage ? kOutageRetryAfter : kTakeOverRetryAfter;
    effects.m_begins.push_back(
        Refusal(request.m_token, ErrorCode::kUnavailable, after));
    return effects;
  }
  const ActionState* state = m_table.Find(request.m_id);
  const bool runnable =
      state == nullptr || (state->m_kind == RecordKind::kClosed &&
                           state->m_attempt != request.m_attempt);
  if (!runnable) {
    effects.m_begins.push_back(EvaluateBegin(*state, request, time.m_now));
    return effects;
  }
  if (full()) {
    effects.m_begins.push_back(
        Refusal(request.m_token, ErrorCode::kExhausted, kOutageRetryAfter));
    return effects;
  }
  PendingRecord pending{.m_record = {.m_kind = RecordKind::kStarted,
                                     .m_id = request.m_id,
                                     .m_digest = request.m_digest,
                                     .m_attempt = request.m_attempt,
                                     .m_at = time.m_wall},
                        .m_waiting = Waiting::kBegin,
                        .m_token = request.m_token};
  m_table.MarkStarting(pending.m_record);
  Enqueue(std::move(pending), effects);
  return effects;
}

BeginReply ActionLedger::EvaluateBegin(const ActionState& state,
                                       const BeginRequest& request,
                                       MonotonicTime now) const {
  BeginReply reply{.m_token = request.m_token};
  if (state.m_digest != request.m_digest && !state.m_digest.empty()) {
    reply.m_verdict = BeginVerdict::kMismatch;
    return reply;
  }
  switch (state.m_kind) {
    case RecordKind::kAnswered:
      reply.m_verdict = BeginVerdict::kAnswered;
      reply.m_answer = state.m_answer;
      return reply;
    case RecordKind::kStarted: {
      const bool running = !state.m_durable || now < state.m_running_until;
      if (state.m_durable && state.m_attempt == request.m_attempt) {
        reply.m_verdict = BeginVerdict::kRun;  // The first reply was lost.
        return reply;
      }
      reply.m_verdict =
          running ? BeginVerdict::kInProgress : BeginVerdict::kUnknown;
      return reply;
    }
    case RecordKind::kUnknown:
      reply.m_verdict = BeginVerdict::kUnknown;
      return reply;
    case RecordKind::kClosed:
    case RecordKind::kEpoch:
      break;
  }
  // The end of this attempt was recorded before its begin arrived.
  reply.m_verdict = BeginVerdict::kRefused;
  return reply;
}

LedgerEffects ActionLedger::Finish(const FinishRequest& request,
                                   LedgerTime time) {
  LedgerEffects effects;
  FinishReply reply{.m_token = request.m_token};
  const ActionState* state = m_table.Find(request.m_id);
  const bool same = state != nullptr && state->m_attempt == request.m_attempt;
  const bool closing = request.m_kind == RecordKind::kClosed;
  if (m_phase == Phase::kServing && state != nullptr && !same && closing) {
    reply.m_recorded = true;  // This attempt never ran.
  }
  if (m_phase == Phase::kServing && same && state->m_kind == request.m_kind) {
    reply.m_recorded = true;
  }
  const bool open = same && (state->m_kind == RecordKind::kStarted ||
                             state->m_kind == RecordKind::kUnknown);
  const bool accepted =
      m_phase == Phase::kServing && (open || (state == nullptr && closing)) &&
      !IsPending(request.m_id, request.m_attempt, RecordKind::kAnswered) &&
      !IsPending(request.m_id, request.m_attempt, RecordKind::kClosed);
  if (reply.m_recorded || !accepted) {
    effects.m_finishes.push_back(reply);
    return effects;
  }
  PendingRecord pending{.m_record = {.m_kind = request.m_kind,
                                     .m_id = request.m_id,
                                     .m_digest = same ? state->m_digest : "",
                                     .m_attempt = request.m_attempt,
                                     .m_at = time.m_wall,
                                     .m_answer = request.m_answer},
                        .m_waiting = Waiting::kFinish,
                        .m_token = request.m_token};
  if (pending.m_record.m_answer.m_body.size() > kMaxRecordedBody) {
    pending.m_record.m_answer.m_body.clear();
  }
  Enqueue(std::move(pending), effects);
  return effects;
}

LedgerEffects ActionLedger::OnWake(LedgerTime time) {
  LedgerEffects effects;
  const bool due = time.m_now >= m_retry_at;
  if (m_phase == Phase::kReading && due && !m_reading) {
    return Start();
  }
  if (m_phase == Phase::kReading || m_phase == Phase::kFenced) {
    return effects;
  }
  if (m_writing && !m_writing->m_sent && due) {
    Send(effects);
  } else if (!m_outage || due) {
    WriteNext(effects);
  }
  if (m_outage && !due) {
    effects.m_wake_in = m_retry_at - time.m_now;
  }
  ApplyRetention(time.m_wall, effects);
  return effects;
}

LedgerEffects ActionLedger::Stop() {
  LedgerEffects effects;
  Fence(effects);
  return effects;
}

void ActionLedger::Enqueue(PendingRecord pending, LedgerEffects& effects) {
  m_queue.push_back(std::move(pending));
  if (!m_writing) {
    effects.m_wake_in = kBatchDelay;
  }
}

void ActionLedger::WriteNext(LedgerEffects& effects) {
  if (m_writing || m_queue.empty() || m_phase == Phase::kReading ||
      m_phase == Phase::kFenced) {
    return;
  }
  BatchWrite writing{.m_nonce = m_next_nonce++};
  ActionBatch batch{.m_fence = m_owner.m_fence,
                    .m_incarnation = m_owner.m_incarnation,
                    .m_nonce = writing.m_nonce};
  std::size_t bytes = 0;
  while (!m_queue.empty()) {
    bytes += MaxJsonBytes(m_queue.front().m_record);
    if (!writing.m_items.empty() && bytes > m_limits.m_max_batch_bytes) {
      break;
    }
    batch.m_records.push_back(m_queue.front().m_record);
    writing.m_items.push_back(std::move(m_queue.front()));
    m_queue.pop_front();
  }
  writing.m_text = ToText(batch);
  m_writing = std::move(writing);
  Send(effects);
}

void ActionLedger::Send(LedgerEffects& effects) {
  m_writing->m_sent = true;
  effects.m_create =
      CreateBatch{.m_sequence = m_next_sequence, .m_text = m_writing->m_text};
}

LedgerEffects ActionLedger::OnCreate(const CreateResult& result,
                                     LedgerTime time) {
  LedgerEffects effects;
  if (!m_writing || m_phase == Phase::kFenced) {
    return effects;
  }
  m_writing->m_sent = false;
  switch (result.m_outcome) {
    case CreateOutcome::kCreated:
      Commit(result.m_revision, time, effects);
      break;
    case CreateOutcome::kConflict:
      OnConflict(result.m_current, time, effects);
      break;
    case CreateOutcome::kNoEffect:
      OnNoEffect(time, effects);
      break;
    case CreateOutcome::kInDoubt:
      OnInDoubt(time, effects);
      break;
  }
  return effects;
}

void ActionLedger::Commit(Revision revision,
                          LedgerTime time,
                          LedgerEffects& effects) {
  BatchWrite writing = std::move(*m_writing);
  m_writing.reset();
  m_outage = false;
  std::vector<ActionRecord> records;
  for (const PendingRecord& item : writing.m_items) {
    records.push_back(item.m_record);
  }
  RecordBatch(m_next_sequence, revision, writing.m_text.size(), records);
  m_phase = Phase::kServing;
  for (PendingRecord& item : writing.m_items) {
    CommitItem(std::move(item), time, effects);
  }
  WriteNext(effects);
}

void ActionLedger::CommitItem(PendingRecord item,
                              LedgerTime time,
                              LedgerEffects& effects) {
  m_table.Apply(item.m_record, time.m_now + kMaxRunTime);
  if (item.m_abandoned) {
    item.m_record.m_kind = RecordKind::kClosed;
    item.m_record.m_at = time.m_wall;
    if (!IsPending(item.m_record.m_id, item.m_record.m_attempt,
                   RecordKind::kClosed)) {
      m_queue.push_back({.m_record = std::move(item.m_record)});
    }
    return;
  }
  if (item.m_waiting == Waiting::kBegin) {
    effects.m_begins.push_back(
        {.m_token = item.m_token, .m_verdict = BeginVerdict::kRun});
  }
  if (item.m_waiting == Waiting::kFinish) {
    effects.m_finishes.push_back({.m_token = item.m_token, .m_recorded = true});
  }
}

void ActionLedger::OnConflict(const StoredBatch& current,
                              LedgerTime time,
                              LedgerEffects& effects) {
  const ActionBatch batch = ParseBatch(current.m_text);
  const bool own = batch.m_fence == m_owner.m_fence &&
                   batch.m_incarnation == m_owner.m_incarnation;
  if (own && batch.m_nonce == m_writing->m_nonce) {
    Commit(current.m_revision, time, effects);  // The first reply was lost.
    return;
  }
  if (batch.m_fence > m_owner.m_fence) {
    Fence(effects);
    return;
  }
  // This is the last write of an earlier holder, applied before this holder's
  // epoch batch. Replays it and writes at the next sequence number.
  Replay(current, batch, time);
  Send(effects);
}

void ActionLedger::OnNoEffect(LedgerTime time, LedgerEffects& effects) {
  if (m_writing->m_in_doubt) {
    OnInDoubt(time, effects);  // An earlier send may still be applied.
    return;
  }
  BatchWrite writing = std::move(*m_writing);
  m_writing.reset();
  m_outage = true;
  m_retry_at = time.m_now + kRetryInterval;
  for (auto item = writing.m_items.rbegin(); item != writing.m_items.rend();
       ++item) {
    m_queue.push_front(std::move(*item));
  }
  RefuseQueuedBegins(effects);
  if (!m_queue.empty()) {
    effects.m_wake_in = kRetryInterval;
  }
}

void ActionLedger::OnInDoubt(LedgerTime time, LedgerEffects& effects) {
  m_writing->m_in_doubt = true;
  m_outage = true;
  m_retry_at = time.m_now + kRetryInterval;
  for (PendingRecord& item : m_writing->m_items) {
    if (item.m_waiting != Waiting::kBegin) {
      continue;
    }
    effects.m_begins.push_back(
        Refusal(item.m_token, ErrorCode::kUnavailable, kOutageRetryAfter));
    item.m_waiting = Waiting::kNothing;
    item.m_abandoned = true;
  }
  RefuseQueuedBegins(effects);
  effects.m_wake_in = kRetryInterval;
}

void ActionLedger::RefuseQueuedBegins(LedgerEffects& effects) {
  std::erase_if(m_queue, [&](const PendingRecord& item) {
    if (item.m_waiting != Waiting::kBegin) {
      return false;
    }
    m_table.RevertStarting(item.m_record);
    effects.m_begins.push_back(
        Refusal(item.m_token, ErrorCode::kUnavailable, kOutageRetryAfter));
    return true;
  });
}

void ActionLedger::Fence(LedgerEffects& effects) {
  m_phase = Phase::kFenced;
  std::vector<PendingRecord> items(m_queue.begin(), m_queue.end());
  if (m_writing) {
    items.insert(items.end(), m_writing->m_items.begin(),
                 m_writing->m_items.end());
  }
  m_queue.clear();
  m_writing.reset();
  for (const PendingRecord& item : items) {
    if (item.m_waiting == Waiting::kBegin) {
      effects.m_begins.push_back(
          Refusal(item.m_token, ErrorCode::kFenced, kTakeOverRetryAfter));
    }
    if (item.m_waiting == Waiting::kFinish) {
      effects.m_finishes.push_back({.m_token = item.m_token});
    }
  }
}

void ActionLedger::ApplyRetention(WallTime wall, LedgerEffects& effects) {
  if (m_phase != Phase::kServing) {
    return;
  }
  const WallTime horizon =
      wall - std::chrono::floor<milliseconds>(m_limits.m_retention);
  if (wall - m_pruned_at >= kPruneInterval) {
    m_pruned_at = wall;
    m_table.RemoveOlderThan(horizon);
  }
  // The newest batch is kept, so that sequence numbers never restart.
  if (!m_deleting && m_chain.size() > 1 && m_chain.front().m_newest < horizon) {
    m_deleting = true;
    effects.m_delete = DeleteBatch{.m_sequence = m_chain.front().m_sequence,
                                   .m_revision = m_chain.front().m_revision};
  }
}

LedgerEffects ActionLedger::OnDelete(bool deleted) {
  m_deleting = false;
  if (deleted && !m_chain.empty()) {
    m_chain_bytes -= m_chain.front().m_bytes;
    m_chain.pop_front();
  }
  return {};
}

bool ActionLedger::IsPending(const ActionId& id,
                             std::uint64_t attempt,
                             RecordKind kind) const {
  const auto matches = [&](const PendingRecord& item) {
    return item.m_record.m_kind == kind && item.m_record.m_id == id &&
           item.m_record.m_attempt == attempt;
  };
  if (std::any_of(m_queue.begin(), m_queue.end(), matches)) {
    return true;
  }
  return m_writing && std::any_of(m_writing->m_items.begin(),
                                  m_writing->m_items.end(), matches);
}

bool ActionLedger::full() const {
  return m_table.size() >= m_limits.m_max_actions ||
         m_chain_bytes >= m_limits.m_max_chain_bytes;
}

}  // namespace hickoryloft::actions
