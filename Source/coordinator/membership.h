// Keeps the member view up to date: the watchers of a failure domain watch the
// member keys and forward changes to the other hosts of the domain.

#ifndef SOURCE_COORDINATOR_MEMBERSHIP_H_
#define SOURCE_COORDINATOR_MEMBERSHIP_H_

#include <functional>
#include <memory>

#include "base/event_loop.h"
#include "base/log.h"
#include "coordinator/member_view.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::coordinator {

// Use on the loop's thread only.
class Membership {
 public:
  // Calls `changed` after each change of the view, with the change.
  Membership(EventLoop& loop,
             keyvalue::KeyValueService& key_values,
             HostId self,
             std::function<void(const MemberChange&)> changed);

  void Start();

  const MemberView& view() const { return m_view; }
  // Returns whether this host watches the member keys itself.
  bool watching() const { return m_watch != nullptr; }

  // Applies a change that a peer sent, unless this host watches the member keys
  // itself.
  void OnPeerChange(const MemberChange& change);

 private:
  void Apply(const MemberChange& change);
  // Starts or stops the watch, depending on whether this host is a watcher.
  void UpdateWatch();
  void Load();
  void OnLoaded(const Result<keyvalue::ReadReply>& result);
  void OnBatch(const keyvalue::WatchBatch& batch);
  void RetryLater();

  EventLoop& m_loop;
  keyvalue::KeyValueService& m_key_values;
  HostId m_self;
  std::function<void(const MemberChange&)> m_changed;
  Logger m_log{"members"};
  MemberView m_view;
  // By key, as last read or watched.
  std::map<std::string, MemberRecord> m_watched_records;
  bool m_loading = false;
  std::unique_ptr<keyvalue::Watch> m_watch;
  std::unique_ptr<Timer> m_retry_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_MEMBERSHIP_H_
