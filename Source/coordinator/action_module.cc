#include "coordinator/action_module.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/log.h"
#include "wire/frame.h"

namespace hickoryloft::coordinator {

namespace {

const Logger kLogger("actions");

constexpr std::string_view kClaimPrefix = "actions/";
constexpr std::string_view kKeyRoot = "/hickoryloft/";
constexpr std::size_t kSequenceDigits = 20;
// Time after its request within which an entry must send a permitted call.
constexpr milliseconds kRunPermitLifetime{2000};

std::string KeyPrefix(const ClaimName& claim) {
  return std::string(kKeyRoot) + claim + "/";
}

std::string BatchKey(const ClaimName& claim, std::uint64_t sequence) {
  const std::string digits = std::to_string(sequence);
  return KeyPrefix(claim) +
         std::string(kSequenceDigits - std::min(kSequenceDigits, digits.size()),
                     '0') +
         digits;
}

actions::StoredBatch ToStoredBatch(const keyvalue::KeyValue& item) {
  const std::string_view key = item.m_key;
  const std::string_view digits = key.substr(key.rfind('/') + 1);
  actions::StoredBatch stored{.m_revision = item.m_mod_revision,
                              .m_text = item.m_value};
  const auto [end, error] = std::from_chars(
      digits.data(), digits.data() + digits.size(), stored.m_sequence);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    throw Error(ErrorCode::kProtocol,
                "key of an action batch does not end in a sequence number: " +
                    item.m_key);
  }
  return stored;
}

actions::CreateResult ToCreateResult(const Result<keyvalue::SwapReply>& reply) {
  actions::CreateResult result;
  if (!reply.ok()) {
    result.m_outcome = reply.error().code() == ErrorCode::kUnavailable
                           ? actions::CreateOutcome::kNoEffect
                           : actions::CreateOutcome::kInDoubt;
    return result;
  }
  const keyvalue::SwapReply& swap = reply.value();
  if (swap.m_swapped) {
    result.m_outcome = actions::CreateOutcome::kCreated;
    result.m_revision = swap.m_revision;
  } else if (swap.m_current) {
    result.m_outcome = actions::CreateOutcome::kConflict;
    result.m_current = ToStoredBatch(*swap.m_current);
  }
  return result;
}

wire::ActionVerdict ToWire(actions::BeginVerdict verdict) {
  switch (verdict) {
    case actions::BeginVerdict::kRun:
      return wire::ActionVerdict::Run;
    case actions::BeginVerdict::kAnswered:
      return wire::ActionVerdict::Answered;
    case actions::BeginVerdict::kInProgress:
      return wire::ActionVerdict::InProgress;
    case actions::BeginVerdict::kUnknown:
      return wire::ActionVerdict::Unknown;
    case actions::BeginVerdict::kMismatch:
      return wire::ActionVerdict::Mismatch;
    case actions::BeginVerdict::kRefused:
      break;
  }
  return wire::ActionVerdict::Refused;
}

actions::RecordKind ToRecordKind(wire::ActionOutcome outcome) {
  switch (outcome) {
    case wire::ActionOutcome::Answered:
      return actions::RecordKind::kAnswered;
    case wire::ActionOutcome::NotRun:
      return actions::RecordKind::kClosed;
    case wire::ActionOutcome::Unknown:
      break;
  }
  return actions::RecordKind::kUnknown;
}

wire::ActionBeginReplyT ToWire(const actions::BeginReply& reply) {
  wire::ActionBeginReplyT message;
  message.verdict = ToWire(reply.m_verdict);
  message.valid_for_ms = static_cast<std::uint32_t>(kRunPermitLifetime.count());
  message.status = reply.m_answer.m_status;
  message.content_type = reply.m_answer.m_content_type;
  message.body = reply.m_answer.m_body;
  message.retry_after_ms = static_cast<std::uint32_t>(
      std::chrono::ceil<milliseconds>(reply.m_retry_after).count());
  return message;
}

}  // namespace

struct ActionModule::Shard {
  struct PendingReply {
    std::uint64_t m_correlation = 0;
    Responder m_respond;
  };

  ClaimName m_claim;
  actions::ActionLedger m_ledger;
  std::map<std::uint64_t, PendingReply> m_pending_replies;
  std::unique_ptr<Timer> m_wake_timer;

  template <typename Message>
  void Respond(std::uint64_t token, Message message) {
    const auto found = m_pending_replies.find(token);
    if (found == m_pending_replies.end()) {
      return;
    }
    const PendingReply pending = std::move(found->second);
    m_pending_replies.erase(found);
    wire::EnvelopeT reply = wire::MakeEnvelope(std::move(message));
    reply.correlation = pending.m_correlation;
    reply.is_reply = true;
    pending.m_respond(std::move(reply));
  }
};

ActionModule::ActionModule(Core& core)
    : m_core(core),
      m_batch_writes(core.Metrics().GetCounter(
          "loft_action_writes_total",
          "Batches of action records sent to the key-value service.")),
      m_started_actions(core.Metrics().GetCounter(
          "loft_actions_started_total",
          "Non-idempotent requests that were let run.")) {}

ActionModule::~ActionModule() = default;

std::vector<ClaimName> ActionModule::WantedClaims() const {
  std::vector<ClaimName> claims;
  for (std::uint32_t shard = 0; shard < actions::kActionShards; ++shard) {
    claims.push_back(std::string(kClaimPrefix) + std::to_string(shard));
  }
  return claims;
}

std::optional<ClaimName> ActionModule::ClaimFor(
    const wire::EnvelopeT& request) const {
  actions::ActionId id;
  if (const auto* begin = request.body.AsActionBegin()) {
    id = {.m_account = begin->account, .m_key = begin->key};
  } else if (const auto* finish = request.body.AsActionFinish()) {
    id = {.m_account = finish->account, .m_key = finish->key};
  } else {
    return std::nullopt;
  }
  return std::string(kClaimPrefix) +
         std::to_string(actions::ShardOf(id, actions::kActionShards));
}

void ActionModule::HandleRequest(const ClaimName& claim,
                                 wire::EnvelopeT request,
                                 Responder respond) {
  const auto found = m_shards.find(claim);
  if (found == m_shards.end()) {
    respond(wire::MakeReply(
        request, wire::ToRequestFailed(Error(ErrorCode::kUnavailable,
                                             "the shard is not held here"))));
    return;
  }
  const ShardRef shard = found->second;
  if (request.body.AsActionBegin() != nullptr) {
    HandleBegin(shard, std::move(request), std::move(respond));
  } else {
    HandleFinish(shard, std::move(request), std::move(respond));
  }
}

void ActionModule::HandleBegin(const ShardRef& shard,
                               wire::EnvelopeT request,
                               Responder respond) {
  const wire::ActionBeginT& begin = *request.body.AsActionBegin();
  const std::uint64_t token = m_next_token++;
  shard->m_pending_replies[token] = {.m_correlation = request.correlation,
                                     .m_respond = std::move(respond)};
  const actions::BeginRequest message{
      .m_token = token,
      .m_id = {.m_account = begin.account, .m_key = begin.key},
      .m_digest = begin.request_digest,
      .m_attempt = begin.attempt};
  RunOnLedger(shard,
              [&](actions::ActionLedger& ledger, actions::LedgerTime time) {
                return ledger.Begin(message, time);
              });
}

void ActionModule::HandleFinish(const ShardRef& shard,
                                wire::EnvelopeT request,
                                Responder respond) {
  const wire::ActionFinishT& finish = *request.body.AsActionFinish();
  const std::uint64_t token = m_next_token++;
  shard->m_pending_replies[token] = {.m_correlation = request.correlation,
                                     .m_respond = std::move(respond)};
  const actions::FinishRequest message{
      .m_token = token,
      .m_id = {.m_account = finish.account, .m_key = finish.key},
      .m_attempt = finish.attempt,
      .m_kind = ToRecordKind(finish.outcome),
      .m_answer = {.m_status = finish.status,
                   .m_content_type = finish.content_type,
                   .m_body = finish.body}};
  RunOnLedger(shard,
              [&](actions::ActionLedger& ledger, actions::LedgerTime time) {
                return ledger.Finish(message, time);
              });
}

bool ActionModule::HandleNotice(const HostId& /*from*/,
                                const wire::EnvelopeT& /*notice*/) {
  return false;
}

void ActionModule::OnClaimHeld(
    const ClaimName& claim,
    FencingNumber fence,
    const std::optional<std::string>& /*hand_over*/) {
  const actions::LedgerOwner owner{
      .m_fence = fence, .m_incarnation = m_core.Self().m_incarnation};
  auto shard = std::make_shared<Shard>(
      Shard{.m_claim = claim,
            .m_ledger = actions::ActionLedger(owner, actions::LedgerLimits())});
  m_shards[claim] = shard;
  ExecuteEffects(shard, shard->m_ledger.Start());
}

void ActionModule::OnClaimLost(const ClaimName& claim) {
  const auto found = m_shards.find(claim);
  if (found == m_shards.end()) {
    return;
  }
  const ShardRef shard = found->second;
  m_shards.erase(found);
  SendReplies(shard, shard->m_ledger.Stop());
}

std::string ActionModule::PrepareHandOver(const ClaimName& claim) {
  OnClaimLost(claim);
  return "";  // The next holder reads the chain.
}

bool ActionModule::HasOpenWork(const ClaimName& claim) const {
  const auto found = m_shards.find(claim);
  return found != m_shards.end() && found->second->m_ledger.busy();
}

void ActionModule::OnEntryConnected(
    const std::function<void(const wire::EnvelopeT&)>& /*send*/) {}

void ActionModule::OnTick(MonotonicTime /*now*/) {
  const std::map<ClaimName, ShardRef> shards = m_shards;
  for (const auto& [claim, shard] : shards) {
    RunOnLedger(shard,
                [](actions::ActionLedger& ledger, actions::LedgerTime time) {
                  return ledger.OnWake(time);
                });
  }
}

template <typename Step>
void ActionModule::RunOnLedger(const std::weak_ptr<Shard>& weak, Step step) {
  const ShardRef shard = weak.lock();
  if (shard == nullptr) {
    return;
  }
  const auto held = m_shards.find(shard->m_claim);
  if (held == m_shards.end() || held->second != shard) {
    return;
  }
  const actions::LedgerTime time{.m_now = m_core.Now(),
                                 .m_wall = std::chrono::floor<milliseconds>(
                                     std::chrono::system_clock::now())};
  try {
    ExecuteEffects(shard, step(shard->m_ledger, time));
  } catch (const Error& error) {
    kLogger.Error(
        "An operation on an action shard failed; the shard continues with its "
        "next event.",
        {{"claim", shard->m_claim}, {"reason", error.what()}});
  }
}

void ActionModule::ExecuteEffects(const ShardRef& shard,
                                  const actions::LedgerEffects& effects) {
  if (effects.m_read_chain) {
    ReadChain(shard);
  }
  if (effects.m_create) {
    Create(shard, *effects.m_create);
  }
  if (effects.m_delete) {
    Delete(shard, *effects.m_delete);
  }
  if (effects.m_wake_in) {
    shard->m_wake_timer = m_core.Loop().After(
        *effects.m_wake_in, [this, weak = std::weak_ptr<Shard>(shard)] {
          RunOnLedger(weak, [](actions::ActionLedger& ledger,
                               actions::LedgerTime time) {
            return ledger.OnWake(time);
          });
        });
  }
  SendReplies(shard, effects);
}

void ActionModule::ReadChain(const ShardRef& shard) {
  m_core.KeyValues().GetPrefix(
      KeyPrefix(shard->m_claim), [this, weak = std::weak_ptr<Shard>(shard)](
                                     const Result<keyvalue::ReadReply>& reply) {
        RunOnLedger(
            weak, [&](actions::ActionLedger& ledger, actions::LedgerTime time) {
              std::optional<std::vector<actions::StoredBatch>> chain;
              if (reply.ok()) {
                chain.emplace();
                for (const keyvalue::KeyValue& item : reply.value().m_items) {
                  chain->push_back(ToStoredBatch(item));
                }
              }
              return ledger.OnChain(chain, time);
            });
      });
}

void ActionModule::Create(const ShardRef& shard,
                          const actions::CreateBatch& create) {
  m_batch_writes.Add();
  m_core.KeyValues().Swap(
      {.m_key = BatchKey(shard->m_claim, create.m_sequence),
       .m_expected_revision = 0,
       .m_value = create.m_text},
      [this, weak = std::weak_ptr<Shard>(shard)](
          const Result<keyvalue::SwapReply>& reply) {
        RunOnLedger(
            weak, [&](actions::ActionLedger& ledger, actions::LedgerTime time) {
              return ledger.OnCreate(ToCreateResult(reply), time);
            });
      });
}

void ActionModule::Delete(const ShardRef& shard,
                          const actions::DeleteBatch& remove) {
  m_core.KeyValues().Swap(
      {.m_key = BatchKey(shard->m_claim, remove.m_sequence),
       .m_expected_revision = remove.m_revision},
      [this, weak = std::weak_ptr<Shard>(shard)](
          const Result<keyvalue::SwapReply>& reply) {
        const bool deleted =
            reply.ok() && (reply.value().m_swapped || !reply.value().m_current);
        RunOnLedger(weak, [&](actions::ActionLedger& ledger,
                              actions::LedgerTime /*time*/) {
          return ledger.OnDelete(deleted);
        });
      });
}

void ActionModule::SendReplies(const ShardRef& shard,
                               const actions::LedgerEffects& effects) {
  for (const actions::BeginReply& reply : effects.m_begins) {
    if (reply.m_verdict == actions::BeginVerdict::kRun) {
      m_started_actions.Add();
    }
    shard->Respond(reply.m_token, ToWire(reply));
  }
  for (const actions::FinishReply& reply : effects.m_finishes) {
    wire::ActionFinishReplyT message;
    message.recorded = reply.m_recorded;
    shard->Respond(reply.m_token, std::move(message));
  }
}

}  // namespace hickoryloft::coordinator
