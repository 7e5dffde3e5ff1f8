// A host's registration in the key-value service, attached to a lease.

#ifndef SOURCE_MEMBERSHIP_REGISTRATION_H_
#define SOURCE_MEMBERSHIP_REGISTRATION_H_

#include <functional>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::membership {

// Keeps one key attached to its own lease, and writes the key again under a new
// lease whenever the old one has expired. Use on the loop's thread only.
class Registration {
 public:
  // `store` must outlive the registration. `value` is written unchanged.
  Registration(EventLoop& loop,
               keyvalue::KeyValueService& store,
               std::string key,
               std::string value,
               Duration ttl);

  void Start();
  // Renews the lease at once, because the service may have lost it.
  void ConfirmNow();
  // Revokes the lease, which removes the key, and then calls `done`.
  void End(std::function<void()> done);

 private:
  void RequestLease();
  // Writes the key if its revision is `expected` (0: it does not exist).
  void WriteKey(Revision expected);
  void Renew();
  void ScheduleRetry(const Error& error);

  EventLoop& m_loop;
  keyvalue::KeyValueService& m_store;
  std::string m_key;
  std::string m_value;
  Duration m_ttl;
  keyvalue::LeaseId m_lease = 0;
  bool m_registered = false;
  bool m_ended = false;
  std::unique_ptr<Timer> m_timer;
  // Callbacks hold a weak pointer to this, and return if it has expired.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_REGISTRATION_H_
