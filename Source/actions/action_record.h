// The records of the action ledger, which keep a non-idempotent request from
// running twice.

#ifndef SOURCE_ACTIONS_ACTION_RECORD_H_
#define SOURCE_ACTIONS_ACTION_RECORD_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::actions {

// Calendar time, which decides only about retention.
using WallTime = std::chrono::sys_time<milliseconds>;

// Longer answers are recorded by their status only.
constexpr std::size_t kMaxRecordedBody = 16 * 1024;

// A non-idempotent request: its client account and Idempotency-Key.
struct ActionId {
  std::string m_account;  // Qualified name.
  std::string m_key;

  friend bool operator==(const ActionId&, const ActionId&) = default;
  friend bool operator<(const ActionId& left, const ActionId& right) {
    return std::tie(left.m_account, left.m_key) <
           std::tie(right.m_account, right.m_key);
  }
};

// Returns the shard that keeps `id`, below `shards`. Thread-safe.
std::uint32_t ShardOf(const ActionId& id, std::uint32_t shards);

struct ActionAnswer {
  std::uint16_t m_status = 0;
  std::string m_content_type;
  std::string m_body;

  friend bool operator==(const ActionAnswer&, const ActionAnswer&) = default;
};

enum class RecordKind {
  kEpoch,     // A new holder begins; it names no action.
  kStarted,   // An attempt may run from now on.
  kAnswered,  // The attempt has been answered.
  kClosed,    // The attempt has not run and never will.
  kUnknown,   // The attempt has ended and nobody knows how.
};

struct ActionRecord {
  RecordKind m_kind = RecordKind::kEpoch;
  ActionId m_id;
  std::string m_digest;  // Of the request.
  std::uint64_t m_attempt = 0;
  WallTime m_at{};
  ActionAnswer m_answer;  // For kAnswered.
};

// What one compare-and-swap writes. Fence, incarnation and nonce together tell
// a holder its own batch from anyone else's.
struct ActionBatch {
  FencingNumber m_fence = 0;
  Incarnation m_incarnation = 0;
  std::uint64_t m_nonce = 0;
  std::vector<ActionRecord> m_records;
};

// Returns `batch` as JSON. Thread-safe.
std::string ToText(const ActionBatch& batch);

// Returns the batch in `text`. Thread-safe. Throws Error(kProtocol).
ActionBatch ParseBatch(const std::string& text);

}  // namespace hickoryloft::actions

#endif  // SOURCE_ACTIONS_ACTION_RECORD_H_
