#include "limits/entry_bucket.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace hickoryloft::limits {

namespace {

// A request is refused if the refill it needs takes longer than this.
constexpr Duration kMaxRefillWait = milliseconds(300);
// After an incomplete grant, the owner gets no new request until its retry
// delay is over; the delay is clamped to these bounds.
constexpr Duration kMinRetryDelay = milliseconds(20);
constexpr Duration kMaxRetryDelay = milliseconds(100);
constexpr Duration kFailureBackoff = milliseconds(200);
// A reservation waits at most this long while no owner answers.
constexpr Duration kMaxUnavailableWait = seconds(2);
// A token request without a reply for this long no longer prevents requests to
// other owners.
constexpr Duration kSlowReply = milliseconds(25);
constexpr Duration kReportInterval = milliseconds(200);
// Unspent grants are returned this long before they expire.
constexpr Duration kReturnLead = milliseconds(300);
// Below this number of requests per second, tokens are requested on demand
// only.
constexpr double kPrefetchRequestsPerSecond = 4;
// Tokens are prefetched for kPrefetchSeconds of demand, whenever those at hand
// last for less than kRefetchSeconds.
constexpr double kPrefetchSeconds = 0.4;
constexpr double kRefetchSeconds = 0.2;

}  // namespace

EntryBucket::EntryBucket(std::string entry,
                         const std::vector<std::uint32_t>& slots)
    : m_entry(std::move(entry)) {
  for (const std::uint32_t number : slots) {
    Slot slot;
    slot.m_number = number;
    m_slots.push_back(std::move(slot));
  }
}

EntryEffects EntryBucket::Reserve(std::uint64_t id,
                                  std::uint64_t tokens,
                                  Duration limit,
                                  MonotonicTime now) {
  EntryEffects effects;
  const Duration patience = std::min(limit, kMaxUnavailableWait);
  m_waiters.push_back(
      {.m_id = id, .m_tokens = tokens, .m_give_up_at = now + patience});
  ServeWaiters(now, effects);
  return effects;
}

EntryEffects EntryBucket::Refund(std::uint64_t tokens, MonotonicTime now) {
  EntryEffects effects;
  // Refunds go to the share with the lowest level, since a full share discards
  // them, and only to an owner that has replied to this entry before.
  Slot* emptiest = nullptr;
  for (Slot& slot : m_slots) {
    const bool usable = slot.m_epoch != 0 && slot.m_failed_until <= now;
    if (usable && (emptiest == nullptr || EstimatedLevel(slot, now) <
                                              EstimatedLevel(*emptiest, now))) {
      emptiest = &slot;
    }
  }
  if (emptiest != nullptr) {
    emptiest->m_refunded += tokens;
    emptiest->m_level += static_cast<double>(tokens);
  }
  ServeWaiters(now, effects);
  return effects;
}

EntryEffects EntryBucket::OnReply(std::uint32_t number,
                                  const TokenReply& reply,
                                  MonotonicTime now) {
  EntryEffects effects;
  Slot& slot = Find(number);
  const std::uint64_t asked = slot.m_unanswered->m_tokens;
  slot.m_unanswered.reset();
  slot.m_in_flight = false;
  slot.m_failed_until = {};
  slot.m_refill_per_second = reply.m_refill_per_second;
  slot.m_level = reply.m_level;
  slot.m_level_at = now;
  m_account_burst = reply.m_burst_tokens;
  if (reply.m_epoch != slot.m_epoch) {
    // The grants of the previous owner stay valid, but must not be reported to
    // the new owner, which has no record of them.
    slot.m_epoch = reply.m_epoch;
    slot.m_spent = 0;
    slot.m_returned = 0;
  }
  if (reply.m_granted > 0) {
    slot.m_grants.push_back(
        {.m_tokens = reply.m_granted,
         .m_expires_at = slot.m_first_sent_at + reply.m_valid_for,
         .m_epoch = reply.m_epoch});
  }
  if (reply.m_granted < asked) {
    slot.m_retry_at =
        now + std::clamp(reply.m_retry_after, kMinRetryDelay, kMaxRetryDelay);
  }
  ServeWaiters(now, effects);
  return effects;
}

EntryEffects EntryBucket::OnFailure(std::uint32_t number, MonotonicTime now) {
  EntryEffects effects;
  Slot& slot = Find(number);
  slot.m_in_flight = false;
  slot.m_failed_until = now + kFailureBackoff;
  ServeWaiters(now, effects);
  return effects;
}

EntryEffects EntryBucket::OnTick(MonotonicTime now) {
  EntryEffects effects;
  ServeWaiters(now, effects);
  ReturnSurplus(now);
  SendReports(kReportInterval, now, effects);
  return effects;
}

EntryEffects EntryBucket::ReturnAll(MonotonicTime now) {
  EntryEffects effects;
  m_prefetch = false;
  ServeWaiters(now, effects);
  if (m_waiters.empty()) {
    for (Slot& slot : m_slots) {
      ReturnFrom(slot, Held());
    }
  }
  SendReports(Duration::zero(), now, effects);
  return effects;
}

bool EntryBucket::busy() const {
  if (!m_waiters.empty()) {
    return true;
  }
  return std::any_of(m_slots.begin(), m_slots.end(), [](const Slot& slot) {
    return slot.m_unanswered.has_value() || !slot.m_grants.empty() ||
           slot.m_spent + slot.m_returned + slot.m_refunded > 0;
  });
}

std::uint64_t EntryBucket::Balance(MonotonicTime now) {
  DropExpired(now);
  return Held();
}

void EntryBucket::DropExpired(MonotonicTime now) {
  for (Slot& slot : m_slots) {
    while (!slot.m_grants.empty() &&
           slot.m_grants.front().m_expires_at <= now) {
      const Grant& expired = slot.m_grants.front();
      if (expired.m_epoch == slot.m_epoch) {
        slot.m_spent += expired.m_tokens;
      }
      slot.m_grants.pop_front();
    }
  }
}

void EntryBucket::ServeWaiters(MonotonicTime now, EntryEffects& effects) {
  DropExpired(now);
  AdmitWaiters(now, effects);
  RequestTokens(now, effects);
  RefuseWaiters(now, effects);
}

void EntryBucket::AdmitWaiters(MonotonicTime now, EntryEffects& effects) {
  while (!m_waiters.empty() && m_waiters.front().m_tokens <= Held()) {
    const Waiter waiter = m_waiters.front();
    m_waiters.pop_front();
    Spend(waiter.m_tokens);
    m_demand.Record(waiter.m_tokens, now);
    effects.m_results.push_back(
        {.m_id = waiter.m_id, .m_verdict = ReserveVerdict::kAdmitted});
  }
}

void EntryBucket::RefuseWaiters(MonotonicTime now, EntryEffects& effects) {
  std::uint64_t wanted = 0;
  std::erase_if(m_waiters, [&](const Waiter& waiter) {
    const auto result = CheckRefusal(waiter, wanted + waiter.m_tokens, now);
    if (result) {
      effects.m_results.push_back(*result);
      return true;
    }
    wanted += waiter.m_tokens;
    return false;
  });
}

std::optional<ReserveResult> EntryBucket::CheckRefusal(
    const Waiter& waiter,
    std::uint64_t wanted,
    MonotonicTime now) const {
  ReserveResult result{.m_id = waiter.m_id};
  if (m_account_burst > 0 && waiter.m_tokens > m_account_burst) {
    result.m_verdict = ReserveVerdict::kExceedsBurst;
    return result;
  }
  const bool late = now >= waiter.m_give_up_at;
  bool answer_pending = false;
  bool reachable = false;
  double refill = 0;
  for (const Slot& slot : m_slots) {
    const bool failed = slot.m_failed_until > now;
    answer_pending |= !failed && slot.m_retry_at <= now;
    answer_pending |= slot.m_in_flight;
    reachable |= !failed && slot.m_epoch != 0;
    refill += failed ? 0 : slot.m_refill_per_second;
  }
  if (!late && (answer_pending || !reachable)) {
    return std::nullopt;
  }
  if (!reachable) {
    result.m_verdict = ReserveVerdict::kUnavailable;
    return result;
  }
  const std::uint64_t held = Held();
  const double missing = wanted > held ? static_cast<double>(wanted - held) : 0;
  result.m_retry_after = FromSeconds(missing / std::max(refill, 1e-3));
  const bool soon = result.m_retry_after <= kMaxRefillWait &&
                    now + result.m_retry_after <= waiter.m_give_up_at;
  if (!late && soon) {
    return std::nullopt;
  }
  return result;
}

void EntryBucket::RequestTokens(MonotonicTime now, EntryEffects& effects) {
  const std::uint64_t available = Held() + Expected(now);
  const std::uint64_t target = PrefetchTarget(kPrefetchSeconds, now);
  const std::uint64_t threshold =
      m_waiters.empty() ? PrefetchTarget(kRefetchSeconds, now) : Wanted();
  if (available >= threshold) {
    return;
  }
  const std::uint64_t need = Wanted() + target - available;
  // Requests go to the share with the highest level, since a full share loses
  // its refill.
  Slot* fullest = nullptr;
  for (Slot& slot : m_slots) {
    const bool usable = !slot.m_in_flight && slot.m_failed_until <= now &&
                        slot.m_retry_at <= now;
    if (usable && (fullest == nullptr ||
                   EstimatedLevel(slot, now) > EstimatedLevel(*fullest, now))) {
      fullest = &slot;
    }
  }
  if (fullest != nullptr) {
    Send(*fullest, need, now, effects);
  }
}

void EntryBucket::ReturnSurplus(MonotonicTime now) {
  if (!m_waiters.empty()) {
    return;
  }
  const std::uint64_t target = PrefetchTarget(kPrefetchSeconds, now);
  for (Slot& slot : m_slots) {
    while (!slot.m_grants.empty() &&
           slot.m_grants.front().m_expires_at - now < kReturnLead) {
      ReturnFrom(slot, slot.m_grants.front().m_tokens);
    }
    const std::uint64_t held = Held();
    if (held > 2 * target) {
      ReturnFrom(slot, held - target);
    }
  }
}

void EntryBucket::ReturnFrom(Slot& slot, std::uint64_t tokens) {
  while (tokens > 0 && !slot.m_grants.empty()) {
    Grant& front = slot.m_grants.front();
    const std::uint64_t taken = std::min(front.m_tokens, tokens);
    tokens -= taken;
    front.m_tokens -= taken;
    if (front.m_epoch == slot.m_epoch) {
      slot.m_returned += taken;
    }
    if (front.m_tokens == 0) {
      slot.m_grants.pop_front();
    }
  }
}

void EntryBucket::SendReports(Duration interval,
                              MonotonicTime now,
                              EntryEffects& effects) {
  for (Slot& slot : m_slots) {
    const bool report_due =
        slot.m_unanswered.has_value() ||
        slot.m_spent + slot.m_returned + slot.m_refunded > 0;
    if (report_due && !slot.m_in_flight && slot.m_failed_until <= now &&
        now - slot.m_last_sent_at >= interval) {
      Send(slot, 0, now, effects);
    }
  }
}

void EntryBucket::Send(Slot& slot,
                       std::uint64_t tokens,
                       MonotonicTime now,
                       EntryEffects& effects) {
  slot.m_in_flight = true;
  slot.m_last_sent_at = now;
  if (!slot.m_unanswered) {
    slot.m_first_sent_at = now;
    slot.m_unanswered = TokenRequest{.m_entry = m_entry,
                                     .m_tokens = tokens,
                                     .m_spent = slot.m_spent,
                                     .m_returned = slot.m_returned,
                                     .m_refunded = slot.m_refunded,
                                     .m_sequence = ++slot.m_sequence,
                                     .m_epoch = slot.m_epoch};
    slot.m_spent = 0;
    slot.m_returned = 0;
    slot.m_refunded = 0;
  }
  effects.m_requests_to_send.push_back(
      {.m_slot = slot.m_number, .m_request = *slot.m_unanswered});
}

void EntryBucket::Spend(std::uint64_t tokens) {
  while (tokens > 0) {
    // The grant that expires first, over all slots.
    Slot* next = nullptr;
    for (Slot& slot : m_slots) {
      if (!slot.m_grants.empty() &&
          (next == nullptr || slot.m_grants.front().m_expires_at <
                                  next->m_grants.front().m_expires_at)) {
        next = &slot;
      }
    }
    Grant& grant = next->m_grants.front();
    const std::uint64_t taken = std::min(grant.m_tokens, tokens);
    grant.m_tokens -= taken;
    tokens -= taken;
    if (grant.m_epoch == next->m_epoch) {
      next->m_spent += taken;
    }
    if (grant.m_tokens == 0) {
      next->m_grants.pop_front();
    }
  }
}

std::uint64_t EntryBucket::PrefetchTarget(double horizon_seconds,
                                          MonotonicTime now) {
  if (!m_prefetch ||
      m_demand.RequestsPerSecond(now) < kPrefetchRequestsPerSecond) {
    return 0;
  }
  return static_cast<std::uint64_t>(m_demand.TokensPerSecond(now) *
                                    horizon_seconds);
}

std::uint64_t EntryBucket::Held() const {
  std::uint64_t tokens = 0;
  for (const Slot& slot : m_slots) {
    for (const Grant& grant : slot.m_grants) {
      tokens += grant.m_tokens;
    }
  }
  return tokens;
}

std::uint64_t EntryBucket::Expected(MonotonicTime now) const {
  std::uint64_t tokens = 0;
  for (const Slot& slot : m_slots) {
    if (slot.m_in_flight && now - slot.m_last_sent_at < kSlowReply) {
      tokens += slot.m_unanswered->m_tokens;
    }
  }
  return tokens;
}

std::uint64_t EntryBucket::Wanted() const {
  std::uint64_t tokens = 0;
  for (const Waiter& waiter : m_waiters) {
    tokens += waiter.m_tokens;
  }
  return tokens;
}

double EntryBucket::EstimatedLevel(const Slot& slot, MonotonicTime now) {
  // A share without any request so far is likely to be full.
  if (slot.m_epoch == 0) {
    return std::numeric_limits<double>::max();
  }
  return slot.m_level +
         slot.m_refill_per_second * ToSeconds(now - slot.m_level_at);
}

EntryBucket::Slot& EntryBucket::Find(std::uint32_t number) {
  return *std::find_if(
      m_slots.begin(), m_slots.end(),
      [number](const Slot& slot) { return slot.m_number == number; });
}

}  // namespace hickoryloft::limits
