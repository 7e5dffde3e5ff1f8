// Share owners and entries of one client account, connected by a lossy network,
// with an exact token bucket as the oracle.

#ifndef TESTS_LIMITS_SHARE_FLEET_H_
#define TESTS_LIMITS_SHARE_FLEET_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "limits/entry_bucket.h"
#include "limits/share_owner.h"

namespace hickoryloft::limits {

// The bucket of the whole account. Admissions over every window stay within
// burst + rate x window if and only if the level never falls below zero.
class OracleBucket {
 public:
  explicit OracleBucket(const RateLimit& limit)
      : m_limit(limit), m_level(limit.m_burst_tokens) {}

  void Advance(MonotonicTime now) {
    m_level += m_limit.m_tokens_per_second * ToSeconds(now - m_at);
    m_at = now;
    if (m_next_burst && now >= m_next_burst_at) {
      m_limit.m_burst_tokens = *m_next_burst;
      m_next_burst.reset();
    }
    m_level = std::min(m_level, m_limit.m_burst_tokens);
  }
  void Admit(double tokens) { m_level -= tokens; }
  void Refund(double tokens) {
    m_level = std::min(m_level + tokens, m_limit.m_burst_tokens);
  }
  // Tokens granted before the burst is lowered may be spent until they expire.
  void SetLimit(const RateLimit& limit, MonotonicTime now) {
    const double burst = std::max(m_limit.m_burst_tokens, limit.m_burst_tokens);
    m_next_burst = limit.m_burst_tokens;
    m_next_burst_at = now + kGrantValidity + kGrantDriftMargin;
    m_level += burst - m_limit.m_burst_tokens;
    m_limit = {.m_tokens_per_second = limit.m_tokens_per_second,
               .m_burst_tokens = burst};
  }
  double level() const { return m_level; }

 private:
  RateLimit m_limit;
  double m_level;
  MonotonicTime m_at{};
  std::optional<double> m_next_burst;
  MonotonicTime m_next_burst_at{};
};

// `Bucket` is EntryBucket or has its interface.
template <typename Bucket>
class ShareFleet {
 public:
  static constexpr std::size_t kSlots = 2;
  static constexpr std::size_t kEntries = 3;

  explicit ShareFleet(const RateLimit& limit)
      : m_limit(limit), m_oracle(limit) {
    for (std::size_t slot = 0; slot < kSlots; ++slot) {
      TakeOver(slot);
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      m_entries.push_back(
          {.m_bucket = Bucket("entry-" + std::to_string(i), m_plan.SlotsFor(i)),
           .m_clock_rate = kClockRates[i],
           .m_calls = std::vector<std::uint64_t>(kSlots, 0)});
    }
  }

  void Advance(Duration step) {
    m_now += step;
    m_oracle.Advance(m_now);
  }

  void Reserve(std::size_t entry, std::uint64_t tokens) {
    const std::uint64_t id = m_next_id++;
    m_tokens.push_back(tokens);
    Entry& target = m_entries[entry];
    Apply(entry,
          target.m_bucket.Reserve(id, tokens, seconds(1), ClockOf(target)));
  }

  // Refunds part of an admitted reservation, once. Returns false if there is
  // none.
  bool Refund(std::size_t entry, std::uint64_t tokens) {
    if (m_refundable < tokens) {
      return false;
    }
    m_refundable -= tokens;
    Entry& target = m_entries[entry];
    Apply(entry, target.m_bucket.Refund(tokens, ClockOf(target)));
    return true;
  }

  void Tick(std::size_t entry) {
    Entry& target = m_entries[entry];
    Apply(entry, target.m_bucket.OnTick(ClockOf(target)));
  }

  // Delivers message number `index`; a request stays in the network if
  // `duplicate`.
  void Deliver(std::size_t index, bool duplicate) {
    if (m_network.empty()) {
      return;
    }
    const std::size_t chosen = index % m_network.size();
    const Message message = m_network[chosen];
    if (message.m_reply || !duplicate) {
      Drop(chosen);
    }
    if (message.m_reply) {
      Receive(message);
      return;
    }
    Message answer = message;
    answer.m_reply =
        Owner(message.m_slot).GrantTokens(message.m_request, m_now);
    CreditRefund(message);
    m_network.push_back(answer);
  }

  void Drop(std::size_t index) {
    if (!m_network.empty()) {
      m_network.erase(m_network.begin() +
                      static_cast<std::ptrdiff_t>(index % m_network.size()));
    }
  }

  // The sender's call times out; a later reply is ignored.
  void TimeOut(std::size_t entry, std::size_t slot) {
    Entry& target = m_entries[entry];
    if (target.m_calls[slot] != 0) {
      target.m_calls[slot] = 0;
      Apply(entry, target.m_bucket.OnFailure(static_cast<std::uint32_t>(slot),
                                             ClockOf(target)));
    }
  }

  // The owner of a share crashes and another one takes over.
  void TakeOver(std::size_t slot) { StartOwner(slot, std::nullopt); }

  // The owner of a share stops as planned and passes its state on.
  void HandOver(std::size_t slot) {
    const ShareState state = Owner(slot).Stop(m_now);
    StartOwner(slot, state);
  }

  void SetLimit(const RateLimit& limit) {
    m_limit = limit;
    m_oracle.SetLimit(limit, m_now);
    for (auto& owner : m_owners) {
      owner->SetLimit(m_plan.ShareOf(limit), Burst(), m_now);
    }
  }

  const OracleBucket& oracle() const { return m_oracle; }
  const RateLimit& limit() const { return m_limit; }
  ShareOwner& Owner(std::size_t slot) { return *m_owners[slot]; }
  MonotonicTime now() const { return m_now; }
  std::uint64_t admitted() const { return m_admitted; }
  std::size_t messages() const { return m_network.size(); }

 private:
  struct Entry {
    Bucket m_bucket;
    double m_clock_rate = 1;
    std::vector<std::uint64_t> m_calls;  // By slot; 0: none in flight.
  };
  struct Message {
    std::size_t m_entry = 0;
    std::uint32_t m_slot = 0;
    std::uint64_t m_call = 0;
    TokenRequest m_request;
    std::optional<TokenReply> m_reply;
  };
  // Hosts' clocks run up to 3% fast or slow.
  static constexpr double kClockRates[kEntries] = {0.97, 1.0, 1.03};

  MonotonicTime ClockOf(const Entry& entry) const {
    return MonotonicTime(
        FromSeconds(ToSeconds(m_now.time_since_epoch()) * entry.m_clock_rate));
  }
  std::uint64_t Burst() const {
    return static_cast<std::uint64_t>(m_limit.m_burst_tokens);
  }

  void StartOwner(std::size_t slot, const std::optional<ShareState>& state) {
    m_owners.resize(kSlots);
    m_owners[slot] = std::make_unique<ShareOwner>(
        m_plan.ShareOf(m_limit), Burst(), ++m_fence, m_now, state);
  }

  void Receive(const Message& message) {
    Entry& target = m_entries[message.m_entry];
    if (target.m_calls[message.m_slot] != message.m_call) {
      return;
    }
    target.m_calls[message.m_slot] = 0;
    Apply(message.m_entry,
          target.m_bucket.OnReply(message.m_slot, *message.m_reply,
                                  ClockOf(target)));
  }

  // The oracle counts a refund once, when an owner first receives it.
  void CreditRefund(const Message& message) {
    const TokenRequest& request = message.m_request;
    const bool is_new =
        m_credited.insert({message.m_entry, message.m_slot, request.m_sequence})
            .second;
    if (is_new) {
      m_oracle.Refund(static_cast<double>(request.m_refunded));
    }
  }

  void Apply(std::size_t entry, const EntryEffects& effects) {
    for (const SlotRequest& order : effects.m_requests_to_send) {
      m_entries[entry].m_calls[order.m_slot] = ++m_next_call;
      m_network.push_back({.m_entry = entry,
                           .m_slot = order.m_slot,
                           .m_call = m_next_call,
                           .m_request = order.m_request});
    }
    for (const ReserveResult& result : effects.m_results) {
      if (result.m_verdict == ReserveVerdict::kAdmitted) {
        const std::uint64_t tokens = m_tokens[result.m_id];
        m_oracle.Admit(static_cast<double>(tokens));
        m_refundable += tokens;
        m_admitted += tokens;
      }
    }
  }

  RateLimit m_limit;
  OracleBucket m_oracle;
  SharedSlots m_plan{kSlots};
  MonotonicTime m_now{};
  FencingNumber m_fence = 0;
  std::vector<std::unique_ptr<ShareOwner>> m_owners;
  std::vector<Entry> m_entries;
  std::vector<Message> m_network;
  std::uint64_t m_next_id = 0;
  std::uint64_t m_next_call = 0;
  std::vector<std::uint64_t> m_tokens;  // By reservation.
  std::uint64_t m_refundable = 0;
  std::set<std::tuple<std::size_t, std::uint32_t, std::uint64_t>> m_credited;
  std::uint64_t m_admitted = 0;
};

}  // namespace hickoryloft::limits

#endif  // TESTS_LIMITS_SHARE_FLEET_H_
