// The memory reservations on one engine. All placement shards share them
// through compare-and-swap on one key.

#ifndef SOURCE_PLACEMENT_ENDPOINT_LEDGER_H_
#define SOURCE_PLACEMENT_ENDPOINT_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"
#include "endpoint/orders.h"

namespace hickoryloft::placement {

enum class ReservationState { kLoading, kLoaded, kUnloading };

// Memory that is reserved for one artifact.
struct Reservation {
  std::string m_scope;  // Claim of the shard that wrote it.
  FencingNumber m_fence = 0;
  std::uint64_t m_bytes = 0;       // Memory use once loaded.
  std::uint64_t m_peak_bytes = 0;  // Memory use while loading.
  ReservationState m_state = ReservationState::kLoading;
  std::uint64_t m_order_number = 0;
  bool m_counts_peak = true;  // The load may be running: m_peak_bytes counts.

  friend bool operator==(const Reservation&, const Reservation&) = default;
};

// All reservations on one engine. Value type; not thread-safe.
struct EndpointLedger {
  std::uint64_t m_next_order = 1;
  std::map<endpoint::Artifact, Reservation> m_reservations;

  // Returns the most memory that the reserved artifacts may occupy.
  std::uint64_t UsedBytes() const;

  std::string ToJson() const;
  // Parses `text`; an empty text is an empty ledger. Throws Error(kProtocol) if
  // the text is malformed.
  static EndpointLedger FromJson(const std::string& text);

  friend bool operator==(const EndpointLedger&,
                         const EndpointLedger&) = default;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_ENDPOINT_LEDGER_H_
