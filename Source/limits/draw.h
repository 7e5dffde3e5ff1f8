// Messages between an entry and the home of a rate share.

#ifndef SOURCE_LIMITS_DRAW_H_
#define SOURCE_LIMITS_DRAW_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::limits {

// Asks a home for tokens and reports what became of earlier grants. The tokens
// that a home grants to one entry form a stream; spent and returned tokens are
// reported in the order of that stream.
struct DrawRequest {
  std::string m_entry;  // Unique to one run of an entry.
  std::uint64_t m_tokens = 0;
  std::uint64_t m_spent = 0;     // Admitted, or lapsed at the entry.
  std::uint64_t m_returned = 0;  // Granted and never admitted.
  std::uint64_t m_refunded = 0;  // Admitted, then given back as not used.
  std::uint64_t m_sequence = 0;  // Grows with each new draw from the share.
  FencingNumber m_epoch = 0;     // Of the home that granted what is reported.
};

struct DrawReply {
  std::uint64_t m_granted = 0;
  Duration m_valid_for{};    // Counted by the entry from the send of the draw.
  Duration m_retry_after{};  // Until this home alone could fill the draw.
  FencingNumber m_epoch = 0;
  double m_refill_per_second = 0;    // Of this share.
  double m_level = 0;                // Of this share, after the grant.
  std::uint64_t m_burst_tokens = 0;  // Of the whole account.
};

}  // namespace hickoryloft::limits

#endif  // SOURCE_LIMITS_DRAW_H_
