// The state of a small key-value service: keys, revisions, leases and the
// history of changes. Uses no clock and no socket.

#ifndef SOURCE_KEYVALUE_MEMORY_STORE_H_
#define SOURCE_KEYVALUE_MEMORY_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::keyvalue {

// An ordered map of keys with one revision counter. The time is passed in; the
// caller calls Expire() before each operation. Not thread-safe.
class MemoryStore {
 public:
  static constexpr std::size_t kDefaultHistory = 100'000;  // Events kept.

  explicit MemoryStore(std::size_t max_history = kDefaultHistory)
      : m_max_history(max_history) {}

  Revision revision() const { return m_revision; }

  std::optional<KeyValue> Get(const std::string& key) const;
  // Returns the keys in [first, end); an empty `end` means no upper bound.
  std::vector<KeyValue> GetRange(const std::string& first,
                                 const std::string& end) const;
  std::vector<KeyValue> GetPrefix(const std::string& prefix) const;
  // Returns how often the key was written since its creation; 0 if absent.
  std::int64_t VersionOf(const std::string& key) const;

  // Writes one key and binds it to `lease` only (0: to no lease). Throws
  // Error(kNotFound) if there is no such lease.
  void Put(const std::string& key, const std::string& value, LeaseId lease);
  // Returns whether the key existed.
  bool Delete(const std::string& key);
  // Makes the write if the key has the expected revision. Throws as Put() does.
  SwapReply Swap(const CompareAndSwap& operation);

  LeaseReply Grant(Duration ttl, MonotonicTime now);
  // Restarts the lease's time to live. Throws Error(kNotFound) if it has
  // lapsed.
  LeaseReply KeepAlive(LeaseId lease, MonotonicTime now);
  // Ends the lease and deletes its keys. Throws Error(kNotFound).
  void Revoke(LeaseId lease);
  // Ends every lease whose time to live has passed.
  void Expire(MonotonicTime now);
  // Returns when the next lease lapses, if there is one.
  std::optional<MonotonicTime> NextExpiry() const;

  // Returns the changes under `prefix` after `revision`, oldest first. Throws
  // Error(kNotFound) if the history no longer reaches back that far.
  std::vector<WatchEvent> EventsAfter(const std::string& prefix,
                                      Revision revision) const;
  // Returns the oldest revision for which EventsAfter() has all changes.
  Revision history_start() const { return m_history_start; }

 private:
  struct Entry {
    KeyValue m_item;
    std::int64_t m_version = 0;
  };
  struct Lease {
    Duration m_ttl{};
    MonotonicTime m_expires_at;
    std::set<std::string> m_keys;
  };

  void Unbind(const std::string& key, LeaseId lease);
  void RecordEvent(WatchEvent event);
  void EndLease(std::map<LeaseId, Lease>::iterator lease);

  std::size_t m_max_history;
  Revision m_revision = 1;
  Revision m_history_start = 0;
  LeaseId m_last_lease = 0;
  std::map<std::string, Entry> m_entries;
  std::map<LeaseId, Lease> m_leases;
  std::deque<WatchEvent> m_history;
};

// Returns the end of the key range that holds exactly the keys with `prefix`;
// empty if it has no upper bound. Thread-safe.
std::string PrefixEnd(const std::string& prefix);

}  // namespace hickoryloft::keyvalue

#endif  // SOURCE_KEYVALUE_MEMORY_STORE_H_
