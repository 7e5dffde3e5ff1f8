// An adversarial entry within the protocol: it holds tokens as long as it may,
// spends them at the last moment and reports late.

#ifndef TESTS_LIMITS_HOARDING_ENTRY_H_
#define TESTS_LIMITS_HOARDING_ENTRY_H_

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "limits/entry_bucket.h"

namespace hickoryloft::limits {

// Has the interface of EntryBucket.
class HoardingEntry {
 public:
  HoardingEntry(std::string name, const std::vector<std::uint32_t>& slots)
      : m_name(std::move(name)), m_slots(slots.size()) {}

  // Requests twice the tokens; they are spent at a later tick.
  EntryEffects Reserve(std::uint64_t id,
                       std::uint64_t tokens,
                       Duration /*limit*/,
                       MonotonicTime now) {
    m_waiting.emplace_back(id, tokens);
    EntryEffects effects;
    Send(id % m_slots.size(), 2 * tokens, now, effects);
    return effects;
  }

  EntryEffects Refund(std::uint64_t tokens, MonotonicTime /*now*/) {
    m_slots.front().m_report.m_refunded += tokens;
    return {};
  }

  EntryEffects OnReply(std::uint32_t slot,
                       const TokenReply& reply,
                       MonotonicTime /*now*/) {
    Slot& from = m_slots[slot];
    from.m_in_flight = false;
    from.m_unanswered.reset();
    if (reply.m_epoch != from.m_report.m_epoch) {
      from.m_report.m_epoch = reply.m_epoch;
      from.m_report.m_spent = 0;
      from.m_report.m_returned = 0;
    }
    from.m_grants.push_back({.m_tokens = reply.m_granted,
                             .m_expires_at = from.m_sent_at + reply.m_valid_for,
                             .m_epoch = reply.m_epoch});
    return {};
  }

  EntryEffects OnFailure(std::uint32_t slot, MonotonicTime /*now*/) {
    m_slots[slot].m_in_flight = false;
    return {};
  }

  // Spends at every tick, returns tokens at every fifth and reports at every
  // third.
  EntryEffects OnTick(MonotonicTime now) {
    EntryEffects effects;
    ++m_ticks;
    DropExpired(now);
    if (m_ticks % 5 == 0) {
      for (Slot& slot : m_slots) {
        Take(slot, 40, slot.m_report.m_returned);
      }
    }
    while (!m_waiting.empty() && Held() >= m_waiting.front().second) {
      SpendFor(m_waiting.front().second);
      effects.m_results.push_back({.m_id = m_waiting.front().first,
                                   .m_verdict = ReserveVerdict::kAdmitted});
      m_waiting.pop_front();
    }
    if (m_ticks % 3 == 0) {
      Send(m_ticks % m_slots.size(), 0, now, effects);
    }
    return effects;
  }

 private:
  struct Grant {
    std::uint64_t m_tokens = 0;
    MonotonicTime m_expires_at{};
    FencingNumber m_epoch = 0;
  };
  struct Slot {
    std::deque<Grant> m_grants;
    TokenRequest m_report;
    std::optional<TokenRequest> m_unanswered;
    MonotonicTime m_sent_at{};
    bool m_in_flight = false;
  };

  void Send(std::size_t slot,
            std::uint64_t tokens,
            MonotonicTime now,
            EntryEffects& effects) {
    Slot& to = m_slots[slot];
    if (to.m_in_flight) {
      return;
    }
    if (!to.m_unanswered) {
      to.m_sent_at = now;
      to.m_report.m_entry = m_name;
      to.m_report.m_tokens = tokens;
      ++to.m_report.m_sequence;
      to.m_unanswered = to.m_report;
      to.m_report.m_spent = 0;
      to.m_report.m_returned = 0;
      to.m_report.m_refunded = 0;
    }
    to.m_in_flight = true;
    effects.m_requests_to_send.push_back(
        {.m_slot = static_cast<std::uint32_t>(slot),
         .m_request = *to.m_unanswered});
  }

  void DropExpired(MonotonicTime now) {
    for (Slot& slot : m_slots) {
      while (!slot.m_grants.empty() &&
             slot.m_grants.front().m_expires_at <= now) {
        Take(slot, slot.m_grants.front().m_tokens, slot.m_report.m_spent);
        slot.m_grants.pop_front();
      }
    }
  }

  // Takes up to `tokens` from the slot's stream and adds them to `report` if
  // the current owner granted them. Returns the number not taken.
  static std::uint64_t Take(Slot& slot,
                            std::uint64_t tokens,
                            std::uint64_t& report) {
    for (Grant& grant : slot.m_grants) {
      const std::uint64_t taken = std::min(grant.m_tokens, tokens);
      grant.m_tokens -= taken;
      tokens -= taken;
      report += grant.m_epoch == slot.m_report.m_epoch ? taken : 0;
    }
    return tokens;
  }

  void SpendFor(std::uint64_t tokens) {
    for (Slot& slot : m_slots) {
      tokens = Take(slot, tokens, slot.m_report.m_spent);
    }
  }

  std::uint64_t Held() const {
    std::uint64_t tokens = 0;
    for (const Slot& slot : m_slots) {
      for (const Grant& grant : slot.m_grants) {
        tokens += grant.m_tokens;
      }
    }
    return tokens;
  }

  std::string m_name;
  std::vector<Slot> m_slots;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> m_waiting;
  std::uint64_t m_ticks = 0;
};

}  // namespace hickoryloft::limits

#endif  // TESTS_LIMITS_HOARDING_ENTRY_H_
