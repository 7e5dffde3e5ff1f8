// An entry's tokens of one client account, drawn in batches from the homes of
// the account's shares.

#ifndef SOURCE_LIMITS_ENTRY_BUCKET_H_
#define SOURCE_LIMITS_ENTRY_BUCKET_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "limits/demand_meter.h"
#include "limits/draw.h"

namespace hickoryloft::limits {

enum class ReserveVerdict {
  kAdmitted,
  kRefused,       // Not enough tokens now; m_retry_after says when.
  kExceedsBurst,  // More tokens than the account can ever hold.
  kUnavailable,   // No home answers.
};

struct ReserveResult {
  std::uint64_t m_id = 0;
  ReserveVerdict m_verdict = ReserveVerdict::kRefused;
  Duration m_retry_after{};
};

// A draw to be sent to the home of `m_slot`.
struct DrawOrder {
  std::uint32_t m_slot = 0;
  DrawRequest m_request;
};

struct EntryEffects {
  std::vector<DrawOrder> m_draws;
  std::vector<ReserveResult> m_results;
};

// Not thread-safe. Every method takes the present time, which must not
// decrease, and returns what the caller has to do. Per slot at most one draw is
// in flight: the caller answers each DrawOrder by OnReply() or OnFailure().
class EntryBucket {
 public:
  // `entry` is unique to this run of the entry; `slots` are the shares to draw
  // from, the preferred one first. Precondition: `slots` is not empty.
  EntryBucket(std::string entry, const std::vector<std::uint32_t>& slots);

  // Asks for `tokens` under the caller's number `id`. The result is in these
  // effects, or in later ones at the first call after `limit` has passed.
  EntryEffects Reserve(std::uint64_t id,
                       std::uint64_t tokens,
                       Duration limit,
                       MonotonicTime now);

  // Gives back admitted tokens that were not used.
  EntryEffects Refund(std::uint64_t tokens, MonotonicTime now);

  EntryEffects OnReply(std::uint32_t slot,
                       const DrawReply& reply,
                       MonotonicTime now);
  // The draw had no reply; it is sent again later with the same sequence.
  EntryEffects OnFailure(std::uint32_t slot, MonotonicTime now);

  // Call about every kTickInterval while busy().
  EntryEffects OnTick(MonotonicTime now);

  // Returns all unspent tokens to the homes once nothing waits, and draws no
  // more ahead of demand. Call again at each tick while busy().
  EntryEffects ReturnAll(MonotonicTime now);

  // Whether anything waits, is held or has still to be reported.
  bool busy() const;
  std::uint64_t Balance(MonotonicTime now);

  static constexpr Duration kTickInterval = milliseconds(20);

 private:
  struct Grant {
    std::uint64_t m_tokens = 0;
    MonotonicTime m_lapses_at{};
    FencingNumber m_epoch = 0;
  };
  struct Slot {
    std::uint32_t m_number = 0;
    std::deque<Grant> m_grants;  // Oldest first.
    FencingNumber m_epoch = 0;
    std::uint64_t m_spent = 0;  // These three: since the last draw.
    std::uint64_t m_returned = 0;
    std::uint64_t m_refunded = 0;
    std::uint64_t m_sequence = 0;
    std::optional<DrawRequest> m_unsettled;  // Sent, with no reply yet.
    bool m_in_flight = false;
    MonotonicTime m_first_sent_at{};  // Of the unsettled draw.
    MonotonicTime m_last_sent_at{};
    MonotonicTime m_dry_until{};
    MonotonicTime m_failed_until{};
    double m_refill_per_second = 0;
    double m_level = 0;  // Of the share, at m_level_at.
    MonotonicTime m_level_at{};
  };
  struct Waiter {
    std::uint64_t m_id = 0;
    std::uint64_t m_tokens = 0;
    MonotonicTime m_give_up_at{};
  };

  void DropLapsed(MonotonicTime now);
  void Pump(MonotonicTime now, EntryEffects& effects);
  void AdmitWaiters(MonotonicTime now, EntryEffects& effects);
  void RefuseHopeless(MonotonicTime now, EntryEffects& effects);
  // Returns the result of `waiter` if it is to get none of the tokens, where
  // `wanted` are its tokens and those of the waiters before it.
  std::optional<ReserveResult> Judge(const Waiter& waiter,
                                     std::uint64_t wanted,
                                     MonotonicTime now) const;
  void DrawForDemand(MonotonicTime now, EntryEffects& effects);
  void ReturnSurplus(MonotonicTime now);
  void ReturnFrom(Slot& slot, std::uint64_t tokens);
  void SendReports(Duration interval, MonotonicTime now, EntryEffects& effects);
  void Send(Slot& slot,
            std::uint64_t tokens,
            MonotonicTime now,
            EntryEffects& effects);
  void Spend(std::uint64_t tokens);
  std::uint64_t PrefetchTarget(double horizon_seconds, MonotonicTime now);
  std::uint64_t Held() const;
  // Tokens asked for in draws that are still likely to be answered.
  std::uint64_t Expected(MonotonicTime now) const;
  std::uint64_t Wanted() const;
  Slot& Find(std::uint32_t number);
  // The share's level as far as this entry can tell.
  static double EstimatedLevel(const Slot& slot, MonotonicTime now);

  std::string m_entry;
  std::vector<Slot> m_slots;
  std::deque<Waiter> m_waiters;
  DemandMeter m_demand;
  bool m_prefetch = true;
  std::uint64_t m_account_burst = 0;  // 0: not known yet.
};

}  // namespace hickoryloft::limits

#endif  // SOURCE_LIMITS_ENTRY_BUCKET_H_
