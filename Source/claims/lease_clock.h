// Conservative validity of a lease, as counted by its holder.

#ifndef SOURCE_CLAIMS_LEASE_CLOCK_H_
#define SOURCE_CLAIMS_LEASE_CLOCK_H_

#include <algorithm>

#include "base/time.h"

namespace hickoryloft::claims {

// Computes until when a lease is certainly valid: its time to live, less a
// margin for the drift between two hosts' clocks, counted from the send of the
// last acknowledged grant or renewal. The service counts from the receipt,
// which is later than the send. Not thread-safe.
class LeaseClock {
 public:
  // Precondition: `drift_margin` < `ttl`.
  LeaseClock(Duration ttl, Duration drift_margin)
      : m_validity(ttl - drift_margin) {}

  // Records that a grant or renewal sent at `sent_at` was acknowledged.
  // Acknowledgements may arrive out of order.
  void OnAcknowledged(MonotonicTime sent_at) {
    m_valid_until = std::max(m_valid_until, sent_at + m_validity);
  }

  // Records that the service reported the lease as expired or revoked.
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
