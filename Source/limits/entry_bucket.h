// An entry's tokens of one client account, requested in batches from the owners
// of the account's shares.

#ifndef SOURCE_LIMITS_ENTRY_BUCKET_H_
#define SOURCE_LIMITS_ENTRY_BUCKET_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "limits/demand_meter.h"
#include "limits/token_request.h"

namespace hickoryloft::limits {

enum class ReserveVerdict {
  kAdmitted,
  kRefused,       // Not enough tokens; retry after m_retry_after.
  kExceedsBurst,  // More tokens than the burst of the account.
  kUnavailable,   // No share owner answers.
};

struct ReserveResult {
  std::uint64_t m_id = 0;
  ReserveVerdict m_verdict = ReserveVerdict::kRefused;
  Duration m_retry_after{};
};

// A request to be sent to the owner of the share `m_slot`.
struct SlotRequest {
  std::uint32_t m_slot = 0;
  TokenRequest m_request;
};

struct EntryEffects {
  std::vector<SlotRequest> m_requests_to_send;
  std::vector<ReserveResult> m_results;
};

// Not thread-safe. The times passed in must not decrease. Most methods return
// the requests to send and the results of reservations. Per slot at most one
// request is in flight: the caller reports the outcome of each SlotRequest by
// OnReply() or OnFailure().
class EntryBucket {
 public:
  // `entry` is unique to this process run; `slots` are the shares to request
  // tokens from, the preferred one first. Precondition: `slots` is not empty.
  EntryBucket(std::string entry, const std::vector<std::uint32_t>& slots);

  // Reserves `tokens`; `id` is the caller's number for the reservation. The
  // result is in the returned effects or in those of a later call, at the
  // latest of the first call after `limit` has passed.
  EntryEffects Reserve(std::uint64_t id,
                       std::uint64_t tokens,
                       Duration limit,
                       MonotonicTime now);

  // Returns admitted tokens that were not used.
  EntryEffects Refund(std::uint64_t tokens, MonotonicTime now);

  EntryEffects OnReply(std::uint32_t slot,
                       const TokenReply& reply,
                       MonotonicTime now);
  // Records that the request got no reply. It is sent again later with the same
  // sequence number.
  EntryEffects OnFailure(std::uint32_t slot, MonotonicTime now);

  // Call about every kTickInterval while busy().
  EntryEffects OnTick(MonotonicTime now);

  // Stops prefetching, and returns all unspent tokens to their owners once no
  // reservation waits. Call again at each tick while busy().
  EntryEffects ReturnAll(MonotonicTime now);

  // Returns whether reservations wait, tokens are held or reports are due.
  bool busy() const;
  // Returns the number of unspent tokens.
  std::uint64_t Balance(MonotonicTime now);

  static constexpr Duration kTickInterval = milliseconds(20);

 private:
  struct Grant {
    std::uint64_t m_tokens = 0;
    MonotonicTime m_expires_at{};
    FencingNumber m_epoch = 0;
  };
  struct Slot {
    std::uint32_t m_number = 0;
    std::deque<Grant> m_grants;  // Oldest first.
    FencingNumber m_epoch = 0;
    std::uint64_t m_spent = 0;  // These three: since the last request.
    std::uint64_t m_returned = 0;
    std::uint64_t m_refunded = 0;
    std::uint64_t m_sequence = 0;
    std::optional<TokenRequest> m_unanswered;  // Sent, with no reply yet.
    bool m_in_flight = false;
    MonotonicTime m_first_sent_at{};  // Of the unanswered request.
    MonotonicTime m_last_sent_at{};
    MonotonicTime m_retry_at{};
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

  void DropExpired(MonotonicTime now);
  void ServeWaiters(MonotonicTime now, EntryEffects& effects);
  void AdmitWaiters(MonotonicTime now, EntryEffects& effects);
  void RefuseWaiters(MonotonicTime now, EntryEffects& effects);
  // Returns the result of `waiter` if it has to be refused, else nothing.
  // `wanted` is the sum of its tokens and those of the waiters before it.
  std::optional<ReserveResult> CheckRefusal(const Waiter& waiter,
                                            std::uint64_t wanted,
                                            MonotonicTime now) const;
  void RequestTokens(MonotonicTime now, EntryEffects& effects);
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
  // Returns the tokens of requests that were sent less than kSlowReply ago.
  std::uint64_t Expected(MonotonicTime now) const;
  std::uint64_t Wanted() const;
  Slot& Find(std::uint32_t number);
  // Returns the share's estimated level: that of the last reply plus refill.
  static double EstimatedLevel(const Slot& slot, MonotonicTime now);

  std::string m_entry;
  std::vector<Slot> m_slots;
  std::deque<Waiter> m_waiters;
  DemandMeter m_demand;
  bool m_prefetch = true;
  std::uint64_t m_account_burst = 0;  // 0: no reply so far.
};

}  // namespace hickoryloft::limits

#endif  // SOURCE_LIMITS_ENTRY_BUCKET_H_
