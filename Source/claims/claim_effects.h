// Input and effect types of the claim table.

#ifndef SOURCE_CLAIMS_CLAIM_EFFECTS_H_
#define SOURCE_CLAIMS_CLAIM_EFFECTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "claims/claim_record.h"

namespace hickoryloft::claims {

using ClaimName = std::string;

// A claim that should exist.
struct WantedClaim {
  ClaimName m_claim;
  // Whether the holder may keep the claim while the key-value service is
  // unreachable, as long as the successor defers its takeover. If false, no
  // successor is named.
  bool m_acts_in_outage = true;
};

struct ClaimSettings {
  Duration m_short_ttl = seconds(6);
  Duration m_long_ttl = seconds(660);
  Duration m_drift_margin = milliseconds(500);
  // How long a host must have been a member before claims are moved to it, and
  // how long a claim is held before it is moved.
  Duration m_settle_time = seconds(10);
  // Interval between attempts to read or write one claim.
  Duration m_retry_interval = milliseconds(250);
};

// A live host in the member view.
struct ClaimHost {
  HostId m_host;
  Incarnation m_incarnation = 0;
  FailureDomainId m_failure_domain;
  std::int64_t m_lease = 0;       // Short lease.
  std::int64_t m_long_lease = 0;  // Lease of the long-lease key.
  bool m_leaving = false;
};

// State read from the key-value service, in this order: the claim's key, the
// member key of its holder, the long-lease key of its successor.
struct ClaimEvidence {
  std::optional<StoredClaim> m_stored;
  // Whether the holder's member key exists and is bound to the lease in the
  // record.
  bool m_holder_live = false;
  // Whether the successor's long-lease key exists.
  bool m_successor_lease_live = false;
};

enum class WriteOutcome {
  kWritten,
  kConflict,  // The key has another revision than expected.
  kNoEffect,  // The service was not reached.
  kUnknown,   // The write may have been applied, or may be applied later.
};

// Read the stored state of a claim; report it with OnEvidence().
struct ReadEvidence {
  ClaimName m_claim;
};

// Write the claim's key if its revision is m_expected (0: absent); report the
// outcome with OnWrite().
struct WriteClaim {
  ClaimName m_claim;
  Revision m_expected = 0;
  std::uint64_t m_nonce = 0;
  std::optional<ClaimRecord> m_record;  // Absent: delete the key.
};

// Ask the successor to defer its takeover; pass its reply, if any, to
// OnTakeoverDeferral().
struct RequestTakeoverDeferral {
  ClaimName m_claim;
  HostId m_successor;
  std::int64_t m_successor_lease = 0;
  FencingNumber m_fence = 0;
};

// This host holds the claim from now on.
struct ClaimHeld {
  ClaimName m_claim;
  FencingNumber m_fence = 0;
  std::optional<std::string> m_hand_over;  // State of the previous holder.
};

// This host no longer holds the claim.
struct ClaimLost {
  ClaimName m_claim;
};

// Send the holder of a claim to all hosts; an empty holder means that the claim
// is free.
struct AnnounceClaim {
  ClaimName m_claim;
  HostId m_holder;
  Incarnation m_incarnation = 0;
  FencingNumber m_fence = 0;
};

// The claim was released; send its state to `m_next`.
struct SendHandOver {
  ClaimName m_claim;
  HostId m_next;
  FencingNumber m_fence = 0;
  std::string m_payload;
};

// Another host is preferred for the claim: prepare the hand-over, then call
// Release().
struct MoveClaim {
  ClaimName m_claim;
  HostId m_next;
};

using ClaimEffect = std::variant<ReadEvidence,
                                 WriteClaim,
                                 RequestTakeoverDeferral,
                                 ClaimHeld,
                                 ClaimLost,
                                 AnnounceClaim,
                                 SendHandOver,
                                 MoveClaim>;

// A successor's reply to a holder's RequestTakeoverDeferral.
struct TakeoverDeferralReply {
  bool m_takeover_deferred = false;
  // No takeover for this long, counted from the receipt of the request.
  Duration m_deferral{};
};

}  // namespace hickoryloft::claims

#endif  // SOURCE_CLAIMS_CLAIM_EFFECTS_H_
