// One share of a client account's token bucket, managed by its owner.
//
// Invariant: level + outstanding grants <= burst of the share. A grant is
// outstanding until the entry reports it or until it has certainly expired at
// the entry. So in any window the entries admit at most burst + rate x window
// from this share, even if tokens are spent long after they were granted.

#ifndef SOURCE_LIMITS_SHARE_OWNER_H_
#define SOURCE_LIMITS_SHARE_OWNER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "limits/share_plan.h"
#include "limits/token_request.h"

namespace hickoryloft::limits {

// How long an entry may spend a grant, counted from sending the token request.
constexpr Duration kGrantValidity = milliseconds(1000);
// Added by the owner for the difference between two hosts' clock rates.
constexpr Duration kGrantDriftMargin = milliseconds(50);

// A grant that the next owner must count as outstanding.
struct OpenGrant {
  double m_tokens = 0;
  Duration m_expires_in{};
};

// State that an owner passes to its successor at a planned stop. There is no
// refill between the stop and the start of the successor.
struct ShareState {
  double m_level = 0;
  std::vector<OpenGrant> m_open;
};

// Not thread-safe; the times passed in must not decrease.
class ShareOwner {
 public:
  // Starts with `state`, which the previous owner's Stop() returned. Without it
  // the share starts empty, and the whole burst counts as outstanding until the
  // grants of the previous owner have expired. Precondition: the previous owner
  // can no longer grant tokens at `now`.
  ShareOwner(const RateLimit& share,
             std::uint64_t account_burst,
             FencingNumber epoch,
             MonotonicTime now,
             const std::optional<ShareState>& state);

  // Applies the usage report in `request` and grants the tokens that the level
  // allows. A repeated request, with the sequence number of the entry's last
  // one, gets the recorded reply.
  TokenReply GrantTokens(const TokenRequest& request, MonotonicTime now);

  // Changes the limit. The level is capped at the new burst immediately.
  void SetLimit(const RateLimit& share,
                std::uint64_t account_burst,
                MonotonicTime now);

  // Returns the state for the next owner. Precondition: no GrantTokens()
  // follows.
  ShareState Stop(MonotonicTime now);

  FencingNumber epoch() const { return m_epoch; }
  double Level(MonotonicTime now);
  double Outstanding(MonotonicTime now);

 private:
  struct Grant {
    double m_tokens = 0;
    MonotonicTime m_expires_at{};
  };
  // The grants and the last reply of one entry.
  struct Session {
    std::uint64_t m_sequence = 0;
    TokenReply m_reply;
    std::deque<Grant> m_grants;  // Oldest first.
    double m_expired = 0;        // Expired here, not yet reported by the entry.
    MonotonicTime m_used_at{};
  };
  struct Expiry {
    MonotonicTime m_at{};
    std::string m_entry;
  };

  void Advance(MonotonicTime now);
  void RefillUntil(MonotonicTime time);
  void ExpireNext();
  void ClampLevel();
  void DropIdleSessions(MonotonicTime now);
  void ApplyReport(Session& session, const TokenRequest& request);
  // Removes `tokens` from the front of the entry's stream and returns how many
  // of them had expired.
  double ConsumeStream(Session& session, double tokens);
  TokenReply GrantTo(Session& session,
                     const TokenRequest& request,
                     MonotonicTime now);

  RateLimit m_limit;
  std::uint64_t m_account_burst;
  FencingNumber m_epoch;
  double m_level = 0;
  double m_outstanding = 0;
  MonotonicTime m_refilled_at;
  MonotonicTime m_sessions_checked_at;
  std::map<std::string, Session> m_sessions;
  std::deque<Expiry> m_expiries;  // Ordered by time.
};

}  // namespace hickoryloft::limits

#endif  // SOURCE_LIMITS_SHARE_OWNER_H_
