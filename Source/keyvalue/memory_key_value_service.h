// In-process key-value service, for a single host and for tests.

#ifndef SOURCE_KEYVALUE_MEMORY_KEY_VALUE_SERVICE_H_
#define SOURCE_KEYVALUE_MEMORY_KEY_VALUE_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "keyvalue/key_value_service.h"
#include "keyvalue/memory_store.h"

namespace hickoryloft::keyvalue {

// Keeps everything in memory. It is never unavailable. No callback is called
// after the service is destroyed. Use on the loop's thread only.
class MemoryKeyValueService : public KeyValueService {
 public:
  // Precondition: `loop` outlives the service.
  explicit MemoryKeyValueService(EventLoop& loop) : m_loop(loop) {}

  void Get(const std::string& key, Callback<ReadReply> callback) override;
  void GetPrefix(const std::string& prefix,
                 Callback<ReadReply> callback) override;
  void Swap(CompareAndSwap operation, Callback<SwapReply> callback) override;
  void GrantLease(Duration ttl, Callback<LeaseReply> callback) override;
  void KeepAlive(LeaseId lease, Callback<LeaseReply> callback) override;
  void RevokeLease(LeaseId lease, Callback<Done> callback) override;
  // The watch may outlive the service, and reports nothing from then on.
  std::unique_ptr<Watch> WatchPrefix(const std::string& prefix,
                                     Revision from_revision,
                                     std::function<void(WatchBatch)> changed,
                                     std::function<void(Error)> ended) override;

 private:
  class WatchHandle;
  struct Watcher {
    std::string m_prefix;
    Revision m_seen = 0;
    std::function<void(WatchBatch)> m_changed;
    std::function<void(Error)> m_ended;
  };
  // Shared with the watch handles, which may outlive the service.
  using Watchers = std::map<std::uint64_t, Watcher>;

  template <typename T>
  void Answer(std::function<T()> operation, Callback<T> callback);
  void PostToLoop(std::function<void()> callback);
  void AfterChange();
  void Notify();
  void NotifyOne(std::uint64_t id);
  void ScheduleExpiry();

  EventLoop& m_loop;
  MemoryStore m_store;
  std::uint64_t m_last_watch = 0;
  std::shared_ptr<Watchers> m_watchers = std::make_shared<Watchers>();
  std::unique_ptr<Timer> m_expiry_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::keyvalue

#endif  // SOURCE_KEYVALUE_MEMORY_KEY_VALUE_SERVICE_H_
