// One share of a client account's token bucket, kept by its home.
//
// Invariant: level + outstanding grants <= burst of the share. A grant is
// outstanding until the entry reports it or until it has surely lapsed at the
// entry. So in any window the entries admit at most burst + rate x window from
// this share, also when tokens are spent long after they were drawn.

#ifndef SOURCE_LIMITS_SHARE_HOME_H_
#define SOURCE_LIMITS_SHARE_HOME_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "limits/draw.h"
#include "limits/share_plan.h"

namespace hickoryloft::limits {

// How long an entry may spend a grant, counted from the send of its draw.
constexpr Duration kGrantValidity = milliseconds(1000);
// Added by the home for the difference between two hosts' clock rates.
constexpr Duration kGrantDriftMargin = milliseconds(50);

// Grants that the next holder must still count as outstanding.
struct OpenGrant {
  double m_tokens = 0;
  Duration m_lapses_in{};
};

// What a home passes to its successor at a planned stop. The level is never
// raised in transit: the refill meanwhile is lost.
struct ShareState {
  double m_level = 0;
  std::vector<OpenGrant> m_open;
};

// Not thread-safe. Every method takes the present time, which must not
// decrease.
class ShareHome {
 public:
  // Starts a share from `state`, the previous holder's at its stop. Without it
  // the share starts empty, and all of the burst counts as outstanding until
  // grants of the previous holder have lapsed. Precondition: the previous
  // holder can no longer grant at `now`.
  ShareHome(const RateLimit& share,
            std::uint64_t account_burst,
            FencingNumber epoch,
            MonotonicTime now,
            const std::optional<ShareState>& state);

  // Settles the report in `request` and grants what the level allows. A request
  // whose sequence is that of the entry's last draw gets the recorded reply.
  DrawReply Draw(const DrawRequest& request, MonotonicTime now);

  // Changes the limit at once; the level is cut to the new burst.
  void SetLimit(const RateLimit& share,
                std::uint64_t account_burst,
                MonotonicTime now);

  // Returns the state for the next holder. Precondition: no Draw() follows.
  ShareState Stop(MonotonicTime now);

  FencingNumber epoch() const { return m_epoch; }
  double Level(MonotonicTime now);
  double Outstanding(MonotonicTime now);

 private:
  struct Grant {
    double m_tokens = 0;
    MonotonicTime m_lapses_at{};
  };
  // What one entry holds.
  struct Session {
    std::uint64_t m_sequence = 0;
    DrawReply m_reply;
    std::deque<Grant> m_grants;  // Oldest first.
    double m_lapsed = 0;         // Lapsed here, not yet reported by the entry.
    MonotonicTime m_used_at{};
  };
  struct Lapse {
    MonotonicTime m_at{};
    std::string m_entry;
  };

  void Advance(MonotonicTime now);
  void RefillUntil(MonotonicTime time);
  void LapseNext();
  void ClampLevel();
  void DropIdleSessions(MonotonicTime now);
  void Settle(Session& session, const DrawRequest& request);
  // Takes `tokens` off the front of the entry's stream and returns how many of
  // them had lapsed.
  double ResolveStream(Session& session, double tokens);
  DrawReply GrantTo(Session& session,
                    const DrawRequest& request,
                    MonotonicTime now);

  RateLimit m_limit;
  std::uint64_t m_account_burst;
  FencingNumber m_epoch;
  double m_level = 0;
  double m_outstanding = 0;
  MonotonicTime m_refilled_at;
  MonotonicTime m_sessions_checked_at;
  std::map<std::string, Session> m_sessions;
  std::deque<Lapse> m_lapses;  // In the order of time.
};

}  // namespace hickoryloft::limits

#endif  // SOURCE_LIMITS_SHARE_HOME_H_
