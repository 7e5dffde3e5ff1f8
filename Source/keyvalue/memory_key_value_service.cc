#include "keyvalue/memory_key_value_service.h"

#include <utility>
#include <vector>

namespace hickoryloft::keyvalue {

// Removes its watcher when it is destroyed.
class MemoryKeyValueService::WatchHandle : public Watch {
 public:
  WatchHandle(std::weak_ptr<Watchers> watchers, std::uint64_t id)
      : m_watchers(std::move(watchers)), m_id(id) {}
  ~WatchHandle() override {
    if (const auto watchers = m_watchers.lock()) {
      watchers->erase(m_id);
    }
  }
  WatchHandle(const WatchHandle&) = delete;
  WatchHandle& operator=(const WatchHandle&) = delete;

 private:
  std::weak_ptr<Watchers> m_watchers;
  std::uint64_t m_id;
};

template <typename T>
void MemoryKeyValueService::Answer(std::function<T()> operation,
                                   Callback<T> callback) {
  m_store.Expire(m_loop.Now());
  Result<T> result = [&]() -> Result<T> {
    try {
      return operation();
    } catch (const Error& error) {
      return error;
    }
  }();
  PostToLoop([callback = std::move(callback), result = std::move(result)] {
    callback(result);
  });
  AfterChange();
}

void MemoryKeyValueService::Get(const std::string& key,
                                Callback<ReadReply> callback) {
  Answer<ReadReply>(
      [&] {
        ReadReply reply{.m_revision = m_store.revision()};
        if (const auto item = m_store.Get(key)) {
          reply.m_items.push_back(*item);
        }
        return reply;
      },
      std::move(callback));
}

void MemoryKeyValueService::GetPrefix(const std::string& prefix,
                                      Callback<ReadReply> callback) {
  Answer<ReadReply>(
      [&] {
        return ReadReply{.m_items = m_store.GetPrefix(prefix),
                         .m_revision = m_store.revision()};
      },
      std::move(callback));
}

void MemoryKeyValueService::Swap(CompareAndSwap operation,
                                 Callback<SwapReply> callback) {
  Answer<SwapReply>([&] { return m_store.Swap(operation); },
                    std::move(callback));
}

void MemoryKeyValueService::GrantLease(Duration ttl,
                                       Callback<LeaseReply> callback) {
  Answer<LeaseReply>([&] { return m_store.Grant(ttl, m_loop.Now()); },
                     std::move(callback));
}

void MemoryKeyValueService::KeepAlive(LeaseId lease,
                                      Callback<LeaseReply> callback) {
  Answer<LeaseReply>([&] { return m_store.KeepAlive(lease, m_loop.Now()); },
                     std::move(callback));
}

void MemoryKeyValueService::RevokeLease(LeaseId lease,
                                        Callback<Done> callback) {
  Answer<Done>(
      [&] {
        m_store.Revoke(lease);
        return Done{};
      },
      std::move(callback));
}

std::unique_ptr<Watch> MemoryKeyValueService::WatchPrefix(
    const std::string& prefix,
    Revision from_revision,
    std::function<void(WatchBatch)> changed,
    std::function<void(Error)> ended) {
  const std::uint64_t id = ++m_last_watch;
  m_watchers->emplace(id, Watcher{.m_prefix = prefix,
                                  .m_seen = from_revision,
                                  .m_changed = std::move(changed),
                                  .m_ended = std::move(ended)});
  PostToLoop([this, id] { NotifyOne(id); });
  return std::make_unique<WatchHandle>(m_watchers, id);
}

void MemoryKeyValueService::PostToLoop(std::function<void()> callback) {
  m_loop.Post([alive = std::weak_ptr(m_alive), callback = std::move(callback)] {
    if (!alive.expired()) {
      callback();
    }
  });
}

void MemoryKeyValueService::AfterChange() {
  ScheduleExpiry();
  PostToLoop([this] { Notify(); });
}

void MemoryKeyValueService::Notify() {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, watcher] : *m_watchers) {
    ids.push_back(id);
  }
  // A callback may destroy any watch, or the service.
  const std::weak_ptr<bool> alive = m_alive;
  for (const std::uint64_t id : ids) {
    if (alive.expired()) {
      return;
    }
    NotifyOne(id);
  }
}

void MemoryKeyValueService::NotifyOne(std::uint64_t id) {
  const auto found = m_watchers->find(id);
  if (found == m_watchers->end() ||
      found->second.m_seen >= m_store.revision()) {
    return;
  }
  Watcher& watcher = found->second;
  WatchBatch batch{.m_revision = m_store.revision()};
  try {
    batch.m_events = m_store.EventsAfter(watcher.m_prefix, watcher.m_seen);
  } catch (const Error& error) {
    const auto ended = watcher.m_ended;
    m_watchers->erase(found);
    ended(Error(ErrorCode::kUnavailable, error.what()));
    return;
  }
  watcher.m_seen = batch.m_revision;
  if (!batch.m_events.empty()) {
    const auto changed = watcher.m_changed;
    changed(std::move(batch));
  }
}

void MemoryKeyValueService::ScheduleExpiry() {
  m_expiry_timer.reset();
  const auto next = m_store.NextExpiry();
  if (!next) {
    return;
  }
  m_expiry_timer = m_loop.After(*next - m_loop.Now(), [this] {
    m_store.Expire(m_loop.Now());
    AfterChange();
  });
}

}  // namespace hickoryloft::keyvalue
