// The holder's own view of a lease, counted conservatively.

#ifndef SOURCE_CLAIMS_LEASE_CLOCK_H_
#define SOURCE_CLAIMS_LEASE_CLOCK_H_

#include <algorithm>

#include "base/time.h"

namespace hickoryloft::claims {

// Tells until when a lease certainly runs: from the send of the last
// acknowledged grant or renewal, for the time to live less a margin for the
// drift between two hosts' clocks. The service starts to count at the receipt,
// which is later than the send. Not thread-safe.
class LeaseClock {
 public:
  // Precondition: `drift_margin` < `ttl`.
  LeaseClock(Duration ttl, Duration drift_margin)
      : m_validity(ttl - drift_margin) {}

  // A grant or renewal sent at `sent_at` was acknowledged. Acknowledgements may
  // come out of order.
  void OnAcknowledged(MonotonicTime sent_at) {
    m_valid_until = std::max(m_valid_until, sent_at + m_validity);
  }

  // The service says that the lease is gone.
  void OnLost() { m_valid_until = MonotonicTime{}; }

  bool ValidAt(MonotonicTime now) const { return now < m_valid_until; }
  MonotonicTime valid_until() const { return m_valid_until; }
  Duration validity() const { return m_validity; }

 private:
  Duration m_validity;
  MonotonicTime m_valid_until{};
};

}  // namespace hickoryloft::claims

#endif  // SOURCE_CLAIMS_LEASE_CLOCK_H_
