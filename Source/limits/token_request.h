// Messages between an entry and the owner of a rate share.

#ifndef SOURCE_LIMITS_TOKEN_REQUEST_H_
#define SOURCE_LIMITS_TOKEN_REQUEST_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::limits {

// Requests tokens from a share owner and reports the usage of earlier grants.
// The tokens that an owner grants to one entry form a stream; spent and
// returned tokens are reported in the order of that stream.
struct TokenRequest {
  std::string m_entry;  // Unique to one process run of an entry.
  std::uint64_t m_tokens = 0;
  std::uint64_t m_spent = 0;     // Admitted, or expired at the entry.
  std::uint64_t m_returned = 0;  // Granted but never admitted.
  std::uint64_t m_refunded = 0;  // Admitted, then returned as not used.
  std::uint64_t m_sequence = 0;  // Increases with each new request.
  FencingNumber m_epoch = 0;     // Of the owner of the reported grants.
};

struct TokenReply {
  std::uint64_t m_granted = 0;
  Duration m_valid_for{};    // Counted by the entry from sending the request.
  Duration m_retry_after{};  // Until this owner alone could grant the rest.
  FencingNumber m_epoch = 0;
  double m_refill_per_second = 0;    // Of this share.
  double m_level = 0;                // Of this share, after the grant.
  std::uint64_t m_burst_tokens = 0;  // Of the whole account.
};

}  // namespace hickoryloft::limits

#endif  // SOURCE_LIMITS_TOKEN_REQUEST_H_
