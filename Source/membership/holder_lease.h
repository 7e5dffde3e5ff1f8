// The exclusive right to give orders to engines.

#ifndef SOURCE_MEMBERSHIP_HOLDER_LEASE_H_
#define SOURCE_MEMBERSHIP_HOLDER_LEASE_H_

#include <functional>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "base/ids.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::membership {

struct HolderTiming {
  Duration m_ttl = seconds(2);  // Of the lease that carries the right.
  // The right ends this long before the lease can lapse, as counted from the
  // send of the last renewal that succeeded: a renewal's way and the drift of
  // two clocks over one life.
  Duration m_margin = milliseconds(300);
  // From taking the right to the first order: the orders of two holders must
  // lie this far apart.
  Duration m_gap = milliseconds(3200);
};

// One key, created under a lease; the revision of its creation is the fencing
// number. Use on the loop's thread only.
class HolderLease {
 public:
  // `store` must outlive the lease.
  HolderLease(EventLoop& loop,
              keyvalue::KeyValueService& store,
              std::string key,
              HostId host,
              HolderTiming timing);

  // Tells whether the key exists, by the host's view. When it does not, the
  // host tries to take the right after `patience`, unless another host was
  // faster.
  void Observe(bool key_exists, Duration patience);

  // Whether orders may be given now. Ask right before each order.
  bool valid() const;
  // Whether the key is held, also before the first order may be given.
  bool held() const { return m_fence != 0; }
  FencingNumber fence() const { return m_fence; }

  // Gives the right up; it is not taken again.
  void End();

 private:
  void Grant();
  void TakeKey(keyvalue::LeaseId lease, MonotonicTime sent);
  void Renew();
  void Lose(const std::string& reason);

  EventLoop& m_loop;
  keyvalue::KeyValueService& m_store;
  std::string m_key;
  HostId m_host;
  HolderTiming m_timing;
  bool m_trying = false;
  bool m_ended = false;
  keyvalue::LeaseId m_lease = 0;
  FencingNumber m_fence = 0;
  MonotonicTime m_valid_from;
  MonotonicTime m_valid_until;
  std::unique_ptr<Timer> m_attempt;
  std::unique_ptr<Timer> m_renewal;
  // Tells callbacks that the lease still exists.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_HOLDER_LEASE_H_
