// The value of a claim's key in the key-value service.

#ifndef SOURCE_CLAIMS_CLAIM_RECORD_H_
#define SOURCE_CLAIMS_CLAIM_RECORD_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace hickoryloft::claims {

// The holder and the successor of a claim. The key is not bound to a lease: it
// must outlive the holder's lease, because other hosts read from it which
// successor's takeover deferral they have to wait out.
struct ClaimRecord {
  HostId m_holder;  // Empty if released.
  Incarnation m_incarnation = 0;
  std::uint64_t m_nonce = 0;  // Identifies a write whose outcome is unknown.
  std::int64_t m_lease = 0;   // The holder's short lease at the write.
  HostId m_successor;         // Empty if none.
  std::int64_t m_successor_lease = 0;  // Its long lease at the write.
  // The fencing number of the holder, or of the last one if released; 0 in the
  // write that acquires the claim, whose revision becomes the fencing number.
  FencingNumber m_fence = 0;

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

// A record with the revision of its key in the key-value service.
struct StoredClaim {
  ClaimRecord m_record;
  Revision m_mod_revision = 0;

  // Returns the fencing number: for the write that acquired the claim, that is
  // its revision.
  FencingNumber fence() const {
    return m_record.m_fence != 0 ? m_record.m_fence : m_mod_revision;
  }
};

// Returns `record` as JSON. Thread-safe.
std::string FormatClaimRecord(const ClaimRecord& record);

// Returns the record in `text`. Thread-safe. Throws Error(kProtocol).
ClaimRecord ParseClaimRecord(const std::string& text);

}  // namespace hickoryloft::claims

#endif  // SOURCE_CLAIMS_CLAIM_RECORD_H_
