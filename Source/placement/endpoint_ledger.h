// The memory ledger of one engine, shared by all placement shards through
// compare-and-swap on one key.

#ifndef SOURCE_PLACEMENT_ENDPOINT_LEDGER_H_
#define SOURCE_PLACEMENT_ENDPOINT_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"
#include "endpoint/orders.h"

namespace hickoryloft::placement {

enum class ReservationState { kLoading, kResting, kUnloading };

// Memory that is promised to one artifact.
struct Reservation {
  std::string m_scope;  // The claim under which it was written.
  FencingNumber m_fence = 0;
  std::uint64_t m_bytes = 0;       // Once loaded.
  std::uint64_t m_peak_bytes = 0;  // While loading.
  ReservationState m_state = ReservationState::kLoading;
  std::uint64_t m_order_number = 0;
  bool m_peaks = true;  // The load is not proved finished: counts the peak.

  friend bool operator==(const Reservation&, const Reservation&) = default;
};

// All reservations on one engine. Value type; not thread-safe.
struct EndpointLedger {
  std::uint64_t m_next_order = 1;
  std::map<endpoint::Artifact, Reservation> m_reservations;

  // Returns the bytes that the reservations may occupy at most.
  std::uint64_t UsedBytes() const;

  // Returns the ledger as JSON.
  std::string ToJson() const;
  // Returns the ledger in `text`; an empty text is an empty ledger. Throws
  // Error(kProtocol) if it is not a ledger.
  static EndpointLedger FromJson(const std::string& text);

  friend bool operator==(const EndpointLedger&,
                         const EndpointLedger&) = default;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_ENDPOINT_LEDGER_H_
