// The value of a claim's key in the key-value service.

#ifndef SOURCE_CLAIMS_CLAIM_RECORD_H_
#define SOURCE_CLAIMS_CLAIM_RECORD_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace hickoryloft::claims {

// Who holds a claim. The key is not bound to a lease: it must outlive its
// holder's lease, since it tells others whose promise they have to wait for.
struct ClaimRecord {
  HostId m_holder;  // Empty: released.
  Incarnation m_incarnation = 0;
  std::uint64_t m_nonce = 0;  // Of the write, to settle an unknown outcome.
  std::int64_t m_lease = 0;   // The holder's short lease at the write.
  HostId m_successor;         // Empty: none.
  std::int64_t m_successor_lease = 0;  // Its long lease at the write.
  // The fencing number of the holder, or of the last one if released; 0 in the
  // write that acquires the claim, whose revision becomes the fencing number.
  FencingNumber m_fence = 0;

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

// A record as it stands in the service.
struct StoredClaim {
  ClaimRecord m_record;
  Revision m_mod_revision = 0;

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
