// Records of the action ledger, which prevent a non-idempotent request from
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

// Calendar time, used only for retention.
using WallTime = std::chrono::sys_time<milliseconds>;

// Largest answer body, in bytes, that is recorded. Of a longer answer only the
// status and the content type are recorded.
constexpr std::size_t kMaxRecordedBody = 16 * 1024;

// Identifies a non-idempotent request by client account and Idempotency-Key.
struct ActionId {
  std::string m_account;  // Qualified name.
  std::string m_key;

  friend bool operator==(const ActionId&, const ActionId&) = default;
  friend bool operator<(const ActionId& left, const ActionId& right) {
    return std::tie(left.m_account, left.m_key) <
           std::tie(right.m_account, right.m_key);
  }
};

// Returns the shard of `id`, less than `shards`. Thread-safe.
std::uint32_t ShardOf(const ActionId& id, std::uint32_t shards);

struct ActionAnswer {
  std::uint16_t m_status = 0;
  std::string m_content_type;
  std::string m_body;

  friend bool operator==(const ActionAnswer&, const ActionAnswer&) = default;
};

enum class RecordKind {
  kEpoch,     // A new holder took over; has no action.
  kStarted,   // The attempt may run.
  kAnswered,  // The attempt was answered.
  kClosed,    // The attempt has not run and never will.
  kUnknown,   // The attempt ended with an unknown outcome.
};

struct ActionRecord {
  RecordKind m_kind = RecordKind::kEpoch;
  ActionId m_id;
  std::string m_digest;  // Of the request.
  std::uint64_t m_attempt = 0;
  WallTime m_at{};
  ActionAnswer m_answer;  // For kAnswered.
};

// The records written by one compare-and-swap. By fencing number, incarnation
// and nonce a holder recognizes its own batch.
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
