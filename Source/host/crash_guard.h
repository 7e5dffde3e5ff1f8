// Keeps requests that crash endpoints, because of a part of their prompt or as
// a whole, away from them.

#ifndef SOURCE_HOST_CRASH_GUARD_H_
#define SOURCE_HOST_CRASH_GUARD_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "admission/crashing_parts.h"
#include "admission/proven_parts.h"
#include "base/event_loop.h"
#include "fleet/protocols.h"
#include "host/endpoint_probe.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::host {

// Returns what a request has in common with others: its fingerprint and the
// parts of its prompt, except the last, which belongs to one request or
// session. `account` is empty on open routes. Thread-safe.
std::vector<admission::PartInUse> PartsOf(const fleet::CallerRequest& request,
                                          const ClientAccountId& account);
// Returns the ids of `parts`, for the log. Thread-safe.
std::string Describe(const std::vector<admission::PartInUse>& parts);

// How far an answer has come.
enum class AnswerProgress {
  kJustBegun,  // Too short to prove anything.
  kGoesOn,     // Proves that the parts of the prompt crash no endpoints.
  kRejected,   // Whole, but no success: proves the same of the request only.
  kComplete,   // Proves it of the parts and of the request.
};

// Records the ends of endpoints in the key-value service, and reads from there
// those that other hosts recorded, so that all hosts hold the same parts and
// keep holding them over restarts. Use on the loop's thread only.
class CrashGuard {
 public:
  using Parts = std::vector<admission::PartInUse>;

  // `own_keys` returns the system's own keys in the key-value service.
  // `on_held` is called when a part has become held.
  CrashGuard(EventLoop& loop,
             HostId host,
             keyvalue::KeyValueService& store,
             EndpointProbe& probe,
             std::function<const std::map<std::string, keyvalue::KeyValue>&()>
                 own_keys,
             std::function<void()> on_held);

  // Returns the first of `parts` that is held; nothing if there is none.
  std::optional<std::string> HeldPart(const Parts& parts) const;
  // Records that a request was rejected because of `part`, so that the part
  // stays held.
  void RecordRejection(const std::string& part);
  // Returns whether this host may let one request with the held part through,
  // which uses up the right.
  bool TakeTrial(const std::string& part);
  // Returns whether endpoints have ended with one of `parts` in use that was
  // not proved sound since.
  bool Suspects(const Parts& parts) const;

  // Records the proof that an answer gives by its progress.
  void RecordProof(const Parts& parts, AnswerProgress progress);
  // Records that the connection to `endpoint` ended when the answer had just
  // begun, if it had begun. Whether the endpoint has ended is checked first.
  void RecordEarlyEnd(const endpoint::EndpointAddress& endpoint,
                      std::int64_t started_at_ms,
                      const Parts& parts);

  // The system's own keys have changed.
  void ApplyOwnKeys();

  // Number of held prompt parts and requests.
  std::size_t held_parts() const { return m_parts.held().size(); }

 private:
  // An end that has yet to be confirmed or recorded.
  struct PendingEnd {
    endpoint::EndpointAddress m_endpoint;
    std::map<std::string, int> m_depths;  // By part.
    std::chrono::milliseconds m_at{};     // Unix time.
    std::shared_ptr<EndpointProbe::Check> m_check;
  };
  struct Write {
    std::string m_key;
    std::string m_value;
    Duration m_ttl{};
    int m_attempts = 0;
  };

  void RecordEnd(const std::string& incarnation);
  void ReadRecords();
  void HoldCrashingParts();
  // Claims the right to let a request with a held part through, if it is due
  // and no other host has claimed it.
  void ClaimTrial(const std::string& part, const keyvalue::KeyValue& record);
  std::size_t TakeEndSlot();
  Revision RevisionOf(const std::string& key) const;
  // Writes a key that a lease removes after `m_ttl`. Tries again after
  // failures, a few times.
  void Put(const Write& write);
  void Swap(const Write& write, keyvalue::LeaseId lease);
  void PutLater(Write write, const Error& error);

  EventLoop& m_loop;
  HostId m_host;
  keyvalue::KeyValueService& m_store;
  EndpointProbe& m_probe;
  std::function<const std::map<std::string, keyvalue::KeyValue>&()> m_own_keys;
  std::function<void()> m_on_held;
  admission::CrashingParts m_parts;
  admission::ProvenParts m_proven;
  std::pair<Revision, std::size_t> m_records_version = {0, 0};
  std::map<std::string, PendingEnd> m_pending_ends;  // By incarnation.
  // When the records of parts were last written or renewed by this host.
  std::map<std::string, MonotonicTime> m_written_at;
  // The revision of each held part's record, and since when this host has it.
  std::map<std::string, std::pair<Revision, MonotonicTime>> m_held_since;
  std::set<std::string> m_trials;
  // The slot of the next recorded end; chosen at the first one.
  std::optional<std::size_t> m_next_slot;
  bool m_has_read = false;
  std::unique_ptr<Timer> m_read_timer;
  std::unique_ptr<Timer> m_settle_timer;
  std::vector<Write> m_failed_writes;
  std::unique_ptr<Timer> m_retry_timer;
  // Expires with this object; callbacks hold a weak reference.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_CRASH_GUARD_H_
