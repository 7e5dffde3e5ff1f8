// Acquires and renews this host's short and long lease and writes the keys
// bound to them.

#ifndef SOURCE_COORDINATOR_LEASE_KEEPER_H_
#define SOURCE_COORDINATOR_LEASE_KEEPER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "base/log.h"
#include "coordinator/member_record.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::coordinator {

struct LeaseSettings {
  Duration m_short_ttl{};
  Duration m_long_ttl{};
};

// The long-lease key is bound to the long lease, the member key to the short
// lease. The long-lease key is written first, so that each member has one. Use
// on the loop's thread only.
class LeaseKeeper {
 public:
  struct Callbacks {
    // The lease is valid and its key is bound to it. `sent_at` is when the call
    // that granted or last renewed the lease was sent.
    std::function<void(keyvalue::LeaseId, MonotonicTime sent_at)>
        m_short_renewed;
    std::function<void(keyvalue::LeaseId, MonotonicTime sent_at)>
        m_long_renewed;
    std::function<void()> m_short_lost;
    std::function<void()> m_long_lost;
  };

  LeaseKeeper(EventLoop& loop,
              keyvalue::KeyValueService& key_values,
              Member self,
              LeaseSettings settings,
              Callbacks callbacks);

  // Precondition: this process listens on its own address and port. This proves
  // that earlier runs of the host at this address have ended, so their
  // long-lease keys are deleted.
  void Start();
  // Writes the member key again, with the leaving flag set.
  void SetLeaving();
  // Revokes both leases, then calls `done` once, also if the key-value service
  // reports a failure.
  void Revoke(std::function<void()> done);

  keyvalue::LeaseId short_lease() const { return m_short.m_lease; }

 private:
  // A lease and the key bound to it.
  struct LeaseState {
    keyvalue::LeaseId m_lease = 0;
    MonotonicTime m_grant_sent_at{};
    bool m_registered = false;
    bool m_call_pending = false;
    MonotonicTime m_next_call_at{};
    std::string m_key;
    std::string m_value;      // The key's value as last written.
    Revision m_revision = 0;  // The key's modification revision; 0: absent.
  };

  // Starts the calls that are due, at most one per lease at a time.
  void Step();
  // Reads the long-lease keys of this host and deletes those of earlier runs at
  // the same address.
  void DeleteEarlierRunKeys();
  void DeleteIfEarlierRun(const keyvalue::KeyValue& item);
  void StepLong(MonotonicTime now);
  void StepShort(MonotonicTime now);
  void Grant(LeaseState& state, Duration ttl);
  void Register(
      LeaseState& state,
      const std::string& value,
      const std::function<void(keyvalue::LeaseId, MonotonicTime)>& registered);
  void Renew(
      LeaseState& state,
      Duration interval,
      const std::function<void(keyvalue::LeaseId, MonotonicTime)>& renewed,
      const std::function<void()>& lost);
  void OnLeaseLost(LeaseState& state, const std::function<void()>& lost);
  void OnRegistered(
      LeaseState& state,
      const std::string& value,
      const Result<keyvalue::SwapReply>& result,
      const std::function<void(keyvalue::LeaseId, MonotonicTime)>& registered);
  std::string MemberValue() const;
  std::string LongLeaseValue() const;

  EventLoop& m_loop;
  keyvalue::KeyValueService& m_key_values;
  Member m_self;
  LeaseSettings m_settings;
  Callbacks m_callbacks;
  Logger m_log{"leases"};
  LeaseState m_short;
  LeaseState m_long;
  bool m_stopped = false;
  std::unique_ptr<Timer> m_step_timer;
  std::unique_ptr<Timer> m_delete_retry_timer;
  // Callbacks hold a weak pointer to this and do nothing once it has expired.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_LEASE_KEEPER_H_
