// Typed inputs and effects of the claim table.

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
  // Its holder can act while the key-value service is out, on a successor's
  // promise. Without it no successor is named.
  bool m_acts_in_outage = true;
};

struct ClaimSettings {
  Duration m_short_ttl = seconds(6);
  Duration m_long_ttl = seconds(660);
  Duration m_drift_margin = milliseconds(500);
  // How long a host must be a member before claims move to it.
  Duration m_settle_time = seconds(10);
  // Between two tries for one claim.
  Duration m_retry_interval = milliseconds(250);
};

// A live host, as the member view shows it.
struct ClaimHost {
  HostId m_host;
  Incarnation m_incarnation = 0;
  FailureDomainId m_failure_domain;
  std::int64_t m_lease = 0;       // Short.
  std::int64_t m_long_lease = 0;  // Its standing key's.
  bool m_leaving = false;
};

// What the service showed, read in this order: the claim's key, then the member
// key of its holder, then the standing key of its successor.
struct ClaimEvidence {
  std::optional<StoredClaim> m_stored;
  // The holder's member key exists and is bound to the lease in the record.
  bool m_holder_live = false;
  bool m_successor_standing = false;
};

enum class WriteOutcome {
  kWritten,
  kConflict,  // The key stands at another revision.
  kNoEffect,  // The service was not reached.
  kUnknown,   // The write may have landed, or may land later.
};

// Read the evidence about a claim; answer with OnEvidence().
struct ReadEvidence {
  ClaimName m_claim;
};

// Write the claim's key if it stands at m_expected (0: absent); answer with
// OnWrite().
struct WriteClaim {
  ClaimName m_claim;
  Revision m_expected = 0;
  std::uint64_t m_nonce = 0;
  std::optional<ClaimRecord> m_record;  // Absent: delete the key.
};

// Ask the successor for a promise; answer with OnPromise() if it comes.
struct RequestPromise {
  ClaimName m_claim;
  HostId m_successor;
  std::int64_t m_successor_lease = 0;
  FencingNumber m_fence = 0;
};

// This host holds the claim from now on.
struct ClaimHeld {
  ClaimName m_claim;
  FencingNumber m_fence = 0;
  std::optional<std::string> m_hand_over;  // The last holder's state.
};

// This host no longer holds the claim.
struct ClaimLost {
  ClaimName m_claim;
};

// Tell all hosts who holds a claim; an empty holder means that it is free.
struct AnnounceClaim {
  ClaimName m_claim;
  HostId m_holder;
  Incarnation m_incarnation = 0;
  FencingNumber m_fence = 0;
};

// The claim was released; pass its state on to `m_next`.
struct SendHandOver {
  ClaimName m_claim;
  HostId m_next;
  FencingNumber m_fence = 0;
  std::string m_payload;
};

// Another host is preferred for the claim: prepare its hand-over, then call
// Release().
struct MoveClaim {
  ClaimName m_claim;
  HostId m_next;
};

using ClaimEffect = std::variant<ReadEvidence,
                                 WriteClaim,
                                 RequestPromise,
                                 ClaimHeld,
                                 ClaimLost,
                                 AnnounceClaim,
                                 SendHandOver,
                                 MoveClaim>;

// A successor's answer to a holder.
struct PromiseAnswer {
  bool m_promised = false;
  Duration m_not_before{};  // From the receipt of the request.
};

}  // namespace hickoryloft::claims

#endif  // SOURCE_CLAIMS_CLAIM_EFFECTS_H_
