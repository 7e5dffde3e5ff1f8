// The lease that makes one host the placement leader, which alone may send
// orders to engines.

#ifndef SOURCE_MEMBERSHIP_PLACEMENT_LEASE_H_
#define SOURCE_MEMBERSHIP_PLACEMENT_LEASE_H_

#include <functional>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "base/history.h"
#include "base/ids.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::membership {

struct PlacementLeaseTiming {
  Duration m_ttl = seconds(2);  // Of the lease in the key-value service.
  // The host stops sending orders this long before the lease can expire,
  // counted from the send of the last successful renewal. Covers a renewal's
  // transit time and the drift of two clocks over one TTL.
  Duration m_margin = milliseconds(300);
  // Time from acquiring the lease to the first order: the orders of two
  // successive leaders must be at least this far apart.
  Duration m_gap = milliseconds(3200);
};

// Holds one key, created under a lease; the revision of its creation is the
// fencing number, which rises over restores of the service too. Use on the
// loop's thread only.
class PlacementLease {
 public:
  // `store` must outlive the lease.
  PlacementLease(EventLoop& loop,
                 keyvalue::KeyValueService& store,
                 std::string key,
                 HostId host,
                 PlacementLeaseTiming timing);

  // Reports whether the key exists in this host's view of the store. If it does
  // not, the host tries to acquire the lease after `patience`, unless the key
  // appears in the meantime.
  void Observe(bool key_exists, Duration patience);

  // Renews the lease at once, because the service may have lost it.
  void ConfirmNow();
  // The service was restored from an older copy, which may have ended the
  // leader's lease. This host's own lease is not valid until a renewal has
  // confirmed it in `era`. A lease that is acquired from now on waits until a
  // leader of the era before has stopped, which may be cut off and not know.
  // Has no effect if `era` or a later one has been recorded.
  void RecordRestore(Era era);

  // Returns whether orders may be sent now. Check right before each order.
  bool valid() const;
  // Returns whether this host holds the key. This is true before valid() is:
  // the first order has to wait for PlacementLeaseTiming::m_gap.
  bool held() const { return m_fence != 0; }
  FencingNumber fence() const { return m_fence; }

  // Releases the lease and makes no further attempt to acquire it.
  void End();

 private:
  void RequestLease();
  void AcquireKey(keyvalue::LeaseId lease, MonotonicTime sent);
  void Renew();
  // Reads the key after a renewal has failed. A restore of the service ends no
  // lease that is older than its copy; the key shows whether this one is.
  void ReadKey();
  // Returns whether `item` is the key as this host wrote it. Its revision and
  // lease may be stated for a later era.
  bool IsOwn(const keyvalue::KeyValue& item) const;
  void Lose(const std::string& reason);

  EventLoop& m_loop;
  keyvalue::KeyValueService& m_store;
  std::string m_key;
  HostId m_host;
  PlacementLeaseTiming m_timing;
  bool m_acquiring = false;
  bool m_ended = false;
  keyvalue::LeaseId m_lease = 0;
  FencingNumber m_fence = 0;
  Era m_restored_era = 0;
  // Until then, a leader whose lease a restore has ended may send orders.
  MonotonicTime m_earlier_leader_until;
  MonotonicTime m_valid_from;
  MonotonicTime m_valid_until;
  std::unique_ptr<Timer> m_attempt;
  std::unique_ptr<Timer> m_renewal;
  // Callbacks hold a weak pointer to this, and return if it has expired.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_PLACEMENT_LEASE_H_
