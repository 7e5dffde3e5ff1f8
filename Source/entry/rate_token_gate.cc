#include "entry/rate_token_gate.h"

#include <utility>

#include "base/hashing.h"
#include "base/random.h"
#include "wire/frame.h"

namespace hickoryloft::entry {

namespace {

constexpr Duration kTokenRequestTimeout = milliseconds(250);
constexpr std::size_t kEntryNameRandomBytes = 8;

wire::TokenDrawT ToMessage(const ClientAccountId& account,
                           const limits::SlotRequest& slot_request) {
  wire::TokenDrawT message;
  message.account = account.value();
  message.slot = slot_request.m_slot;
  message.entry = slot_request.m_request.m_entry;
  message.tokens = slot_request.m_request.m_tokens;
  message.spent = slot_request.m_request.m_spent;
  message.returned = slot_request.m_request.m_returned;
  message.refunded = slot_request.m_request.m_refunded;
  message.sequence = slot_request.m_request.m_sequence;
  message.epoch = slot_request.m_request.m_epoch;
  return message;
}

limits::TokenReply ToReply(const wire::TokenGrantT& grant) {
  return {.m_granted = grant.granted,
          .m_valid_for = milliseconds(grant.valid_for_ms),
          .m_retry_after = milliseconds(grant.retry_after_ms),
          .m_epoch = grant.epoch,
          .m_refill_per_second = grant.refill_per_second,
          .m_level = static_cast<double>(grant.level),
          .m_burst_tokens = grant.burst_tokens};
}

Result<TokenDecision> ToDecision(const limits::ReserveResult& result) {
  switch (result.m_verdict) {
    case limits::ReserveVerdict::kAdmitted:
      return TokenDecision{.m_admitted = true};
    case limits::ReserveVerdict::kRefused:
      return TokenDecision{.m_retry_after = result.m_retry_after};
    case limits::ReserveVerdict::kExceedsBurst:
      return TokenDecision{.m_exceeds_burst = true};
    case limits::ReserveVerdict::kUnavailable:
      break;
  }
  return Error(ErrorCode::kUnavailable,
               "no owner of the account's rate shares can be reached");
}

}  // namespace

RateTokenGate::RateTokenGate(EventLoop& loop,
                             CoordinatorLink& link,
                             const HostId& host)
    : m_loop(loop),
      m_link(link),
      m_entry_name(host.value() + "/" + RandomHex(kEntryNameRandomBytes)),
      m_entry_hash(static_cast<std::uint32_t>(StableHash(m_entry_name))) {}

void RateTokenGate::Reserve(const ClientAccountId& account,
                            std::uint64_t tokens,
                            Duration limit,
                            Callback callback) {
  const std::uint64_t id = m_next_id++;
  m_callbacks.emplace(id, std::move(callback));
  ApplyEffects(account,
               BucketOf(account).Reserve(id, tokens, limit, m_loop.Now()));
}

void RateTokenGate::Refund(const ClientAccountId& account,
                           std::uint64_t tokens) {
  if (tokens > 0) {
    ApplyEffects(account, BucketOf(account).Refund(tokens, m_loop.Now()));
  }
}

void RateTokenGate::ReturnAll() {
  m_stopping = true;
  Tick();
}

bool RateTokenGate::busy() const {
  for (const auto& [account, bucket] : m_buckets) {
    if (bucket.busy()) {
      return true;
    }
  }
  return false;
}

limits::EntryBucket& RateTokenGate::BucketOf(const ClientAccountId& account) {
  const auto found = m_buckets.find(account);
  if (found != m_buckets.end()) {
    return found->second;
  }
  return m_buckets
      .emplace(account,
               limits::EntryBucket(m_entry_name, m_plan.SlotsFor(m_entry_hash)))
      .first->second;
}

void RateTokenGate::ApplyEffects(const ClientAccountId& account,
                                 const limits::EntryEffects& effects) {
  for (const limits::SlotRequest& slot_request : effects.m_requests_to_send) {
    SendTokenRequest(account, slot_request);
  }
  UpdateTimer();
  for (const limits::ReserveResult& result : effects.m_results) {
    const auto found = m_callbacks.find(result.m_id);
    Callback callback = std::move(found->second);
    m_callbacks.erase(found);
    callback(ToDecision(result));
  }
}

void RateTokenGate::SendTokenRequest(const ClientAccountId& account,
                                     const limits::SlotRequest& slot_request) {
  m_link.Request(
      wire::MakeEnvelope(ToMessage(account, slot_request)),
      kTokenRequestTimeout,
      [this, account, slot = slot_request.m_slot,
       alive = std::weak_ptr<bool>(m_alive)](Result<wire::EnvelopeT> reply) {
        if (alive.expired()) {
          return;
        }
        const wire::TokenGrantT* grant =
            reply.ok() ? reply.value().body.AsTokenGrant() : nullptr;
        limits::EntryBucket& bucket = BucketOf(account);
        ApplyEffects(account,
                     grant == nullptr
                         ? bucket.OnFailure(slot, m_loop.Now())
                         : bucket.OnReply(slot, ToReply(*grant), m_loop.Now()));
      });
}

void RateTokenGate::Tick() {
  std::vector<ClientAccountId> accounts;
  for (const auto& [account, bucket] : m_buckets) {
    if (bucket.busy()) {
      accounts.push_back(account);
    }
  }
  for (const ClientAccountId& account : accounts) {
    limits::EntryBucket& bucket = BucketOf(account);
    const MonotonicTime now = m_loop.Now();
    ApplyEffects(account,
                 m_stopping ? bucket.ReturnAll(now) : bucket.OnTick(now));
  }
  UpdateTimer();
}

void RateTokenGate::UpdateTimer() {
  if (!busy()) {
    m_timer.reset();
    return;
  }
  if (m_timer == nullptr) {
    m_timer =
        m_loop.Every(limits::EntryBucket::kTickInterval, [this] { Tick(); });
  }
}

}  // namespace hickoryloft::entry
