// Interface to the platform's key-value service: compare-and-swap on one key,
// leases and watches.

#ifndef SOURCE_KEYVALUE_KEY_VALUE_SERVICE_H_
#define SOURCE_KEYVALUE_KEY_VALUE_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/history.h"
#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::keyvalue {

using LeaseId = std::int64_t;

struct KeyValue {
  std::string m_key;
  std::string m_value;
  Revision m_create_revision = 0;
  Revision m_mod_revision = 0;
  LeaseId m_lease = 0;  // 0: not bound to a lease.
};

// The keys found by a read, and the service's revision at that read.
struct ReadReply {
  std::vector<KeyValue> m_items;
  Revision m_revision = 0;
  MonotonicTime m_current_as_of;  // As in WatchBatch.
};

// A write to one key that takes effect only if the key's modification revision
// is `m_expected_revision` (0: the key is absent).
struct CompareAndSwap {
  std::string m_key;
  Revision m_expected_revision = 0;
  std::optional<std::string> m_value;  // Absent: delete the key.
  LeaseId m_lease = 0;
};

// The result of a compare-and-swap. If it did not swap, m_current is the
// current state of the key, if it exists.
struct SwapReply {
  bool m_swapped = false;
  Revision m_revision = 0;  // The service's revision after the operation; the
                            // key's new one if it swapped.
  std::optional<KeyValue> m_current;
};

struct LeaseReply {
  LeaseId m_lease = 0;
  Duration m_ttl{};
  Revision m_revision = 0;
};

struct WatchEvent {
  bool m_deleted = false;
  KeyValue m_item;
};

struct WatchBatch {
  std::vector<WatchEvent> m_events;
  Revision m_revision = 0;
  // No change up to this time is missing from the batches so far. The clock's
  // epoch if the service gives no such proof.
  MonotonicTime m_current_as_of;
};

// A running watch. Destroying it ends the watch.
class Watch {
 public:
  virtual ~Watch() = default;

  // Requests at least `pause` between two batches of changes, for services that
  // charge for each call. Other services ignore it.
  virtual void SetBatchPause(Duration /*pause*/) {}
  // Sets how long a call waits for changes, and so how often an empty batch
  // confirms that there are none. Some services ignore it.
  virtual void SetPollWait(Duration /*wait*/) {}
  // Pauses the watch while the caller receives changes from another source; it
  // has those up to `known`. A watch of a service that charges for each call
  // stops calling. Changes may still be reported.
  virtual void Pause(Revision /*known*/) {}
  // Ends the pause; changes after `known` are reported.
  virtual void Resume(Revision /*known*/) {}
};

// Calls to the key-value service. Every method returns at once; the callback is
// called once, later, on the loop's thread. Failures: kUnavailable (the call
// had no effect), kOutcomeUnknown or kTimedOut (it may have had its effect),
// kProtocol (an answer outside the published protocol). Use on the loop's
// thread only.
class KeyValueService {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~KeyValueService() = default;

  // Reads one key.
  virtual void Get(const std::string& key, Callback<ReadReply> callback) = 0;
  // Reads all keys that start with `prefix`, in key order.
  virtual void GetPrefix(const std::string& prefix,
                         Callback<ReadReply> callback) = 0;
  // Writes or deletes one key if it has the expected revision. A conflict is a
  // reply with m_swapped == false, not a failure. With a lapsed lease, fails
  // with kNotFound and has no effect.
  virtual void Swap(CompareAndSwap operation, Callback<SwapReply> callback) = 0;

  virtual void GrantLease(Duration ttl, Callback<LeaseReply> callback) = 0;
  // Restarts the lease's time to live. Fails with kNotFound if it has lapsed.
  virtual void KeepAlive(LeaseId lease, Callback<LeaseReply> callback) = 0;
  // Ends the lease and deletes the keys bound to it.
  virtual void RevokeLease(LeaseId lease, Callback<Done> callback) = 0;

  // Sets the function that is called, from the loop, when the service turns out
  // to have been restored from an older copy of its data, with the new era.
  // Changes and leases since the copy are lost. Revisions and leases of the
  // time after the restore are greater than all before it; a lease of the time
  // before it counts as ended. Never called by services that keep their
  // history.
  virtual void SetRestoredHandler(const std::function<void(Era)>& /*handler*/) {
  }

  // Reports changes of keys under `prefix` after `from_revision`. `ended` is
  // called once if the watch fails; the caller then reads again and starts a
  // new watch.
  virtual std::unique_ptr<Watch> WatchPrefix(
      const std::string& prefix,
      Revision from_revision,
      std::function<void(WatchBatch)> changed,
      std::function<void(Error)> ended) = 0;
};

}  // namespace hickoryloft::keyvalue

#endif  // SOURCE_KEYVALUE_KEY_VALUE_SERVICE_H_
