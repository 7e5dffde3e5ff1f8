// The ledger of one action shard: a chain of batches in the key-value service,
// each created once by compare-and-swap at the next sequence number.
//
// A holder serves requests only after its epoch batch has been written to the
// chain. From then on a create by any earlier holder conflicts with that batch,
// so an earlier holder detects that it is fenced before it can allow an action
// to run. Safety depends on this alone, not on clocks.

#ifndef SOURCE_ACTIONS_ACTION_LEDGER_H_
#define SOURCE_ACTIONS_ACTION_LEDGER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "actions/action_record.h"
#include "actions/action_table.h"
#include "base/error.h"

namespace hickoryloft::actions {

constexpr std::uint32_t kActionShards = 32;

struct LedgerTime {
  MonotonicTime m_now{};
  WallTime m_wall{};
};

// The holder that writes the chain.
struct LedgerOwner {
  FencingNumber m_fence = 0;
  Incarnation m_incarnation = 0;
};

struct LedgerLimits {
  Duration m_retention = std::chrono::hours(24);
  std::size_t m_max_actions = 20000;
  std::size_t m_max_chain_bytes = std::size_t{4} * 1024 * 1024;
  std::size_t m_max_batch_bytes = std::size_t{256} * 1024;
};

// Requests permission to run an action. The sender may repeat the request with
// the same attempt number only until it acts on a reply, and acts on at most
// one reply.
struct BeginRequest {
  std::uint64_t m_token = 0;  // Chosen by the caller; returned in the reply.
  ActionId m_id;
  std::string m_digest;
  std::uint64_t m_attempt = 0;
};

enum class BeginVerdict {
  kRun,
  kAnswered,
  kInProgress,
  kUnknown,
  kMismatch,
  kRefused,  // Must not run; the reason is in BeginReply::m_reason.
};

struct BeginReply {
  std::uint64_t m_token = 0;
  BeginVerdict m_verdict = BeginVerdict::kRefused;
  ErrorCode m_reason = ErrorCode::kUnavailable;
  Duration m_retry_after{};
  ActionAnswer m_answer;
};

struct FinishRequest {
  std::uint64_t m_token = 0;
  ActionId m_id;
  std::uint64_t m_attempt = 0;
  RecordKind m_kind = RecordKind::kUnknown;  // kAnswered, kClosed or kUnknown.
  ActionAnswer m_answer;
};

struct FinishReply {
  std::uint64_t m_token = 0;
  bool m_recorded = false;
};

// One batch of the chain as stored in the key-value service.
struct StoredBatch {
  std::uint64_t m_sequence = 0;
  Revision m_revision = 0;
  std::string m_text;
};

struct CreateBatch {
  std::uint64_t m_sequence = 0;
  std::string m_text;
};

struct DeleteBatch {
  std::uint64_t m_sequence = 0;
  Revision m_revision = 0;
};

// Outcome of a CreateBatch.
enum class CreateOutcome {
  kCreated,
  kConflict,  // The key has another value, CreateResult::m_current.
  kNoEffect,
  kInDoubt,
};

struct CreateResult {
  CreateOutcome m_outcome = CreateOutcome::kInDoubt;
  Revision m_revision = 0;  // For kCreated.
  StoredBatch m_current;    // For kConflict.
};

// What the caller must do, in this order.
struct LedgerEffects {
  bool m_read_chain = false;            // Report with OnChain().
  std::optional<CreateBatch> m_create;  // Report with OnCreate().
  std::optional<DeleteBatch> m_delete;  // Report with OnDelete().
  std::vector<BeginReply> m_begins;
  std::vector<FinishReply> m_finishes;
  std::optional<Duration> m_wake_in;  // Call OnWake() after this time.
};

// Not thread-safe. At most one create is in flight.
class ActionLedger {
 public:
  ActionLedger(LedgerOwner owner, LedgerLimits limits);

  LedgerEffects Start();
  // Handles the result of reading the chain: all batches in the order of their
  // sequence numbers, or std::nullopt if the read failed.
  LedgerEffects OnChain(const std::optional<std::vector<StoredBatch>>& chain,
                        LedgerTime time);
  LedgerEffects OnCreate(const CreateResult& result, LedgerTime time);
  LedgerEffects OnDelete(bool deleted);
  LedgerEffects OnWake(LedgerTime time);

  LedgerEffects Begin(const BeginRequest& request, LedgerTime time);
  LedgerEffects Finish(const FinishRequest& request, LedgerTime time);

  // Refuses all pending requests. No input may be given afterwards.
  LedgerEffects Stop();

  bool serving() const { return m_phase == Phase::kServing; }
  bool fenced() const { return m_phase == Phase::kFenced; }
  // Whether records are queued or being written.
  bool busy() const { return !m_queue.empty() || m_writing.has_value(); }
  std::size_t chain_bytes() const { return m_chain_bytes; }
  std::size_t size() const { return m_table.size(); }

 private:
  enum class Phase { kReading, kTakingOver, kServing, kFenced };

  enum class Waiting { kNothing, kBegin, kFinish };
  // A record that is queued or being written, with the reply that waits for it.
  struct PendingRecord {
    ActionRecord m_record;
    Waiting m_waiting = Waiting::kNothing;
    std::uint64_t m_token = 0;
    bool m_abandoned = false;  // Begin refused; the write is in doubt.
  };
  struct BatchWrite {
    std::vector<PendingRecord> m_items;
    std::uint64_t m_nonce = 0;
    std::string m_text;
    bool m_sent = false;
    bool m_in_doubt = false;  // An earlier send may have been applied.
  };
  struct ChainItem {
    std::uint64_t m_sequence = 0;
    Revision m_revision = 0;
    std::size_t m_bytes = 0;
    WallTime m_newest{};
  };

  void Replay(const StoredBatch& stored,
              const ActionBatch& batch,
              LedgerTime time);
  void RecordBatch(std::uint64_t sequence,
                   Revision revision,
                   std::size_t bytes,
                   const std::vector<ActionRecord>& records);
  void WriteEpoch(LedgerTime time, LedgerEffects& effects);
  void Enqueue(PendingRecord pending, LedgerEffects& effects);
  // Starts the next write if none is in flight.
  void WriteNext(LedgerEffects& effects);
  void Send(LedgerEffects& effects);
  void Commit(Revision revision, LedgerTime time, LedgerEffects& effects);
  void CommitItem(PendingRecord item, LedgerTime time, LedgerEffects& effects);
  void OnConflict(const StoredBatch& current,
                  LedgerTime time,
                  LedgerEffects& effects);
  void OnNoEffect(LedgerTime time, LedgerEffects& effects);
  void OnInDoubt(LedgerTime time, LedgerEffects& effects);
  void RefuseQueuedBegins(LedgerEffects& effects);
  void Fence(LedgerEffects& effects);
  void ApplyRetention(WallTime wall, LedgerEffects& effects);
  BeginReply EvaluateBegin(const ActionState& state,
                           const BeginRequest& request,
                           MonotonicTime now) const;
  bool IsPending(const ActionId& id,
                 std::uint64_t attempt,
                 RecordKind kind) const;
  bool full() const;

  LedgerOwner m_owner;
  LedgerLimits m_limits;
  Phase m_phase = Phase::kReading;
  ActionTable m_table;
  std::deque<ChainItem> m_chain;  // Oldest first.
  std::size_t m_chain_bytes = 0;
  std::uint64_t m_next_sequence = 0;
  std::uint64_t m_next_nonce = 1;
  std::deque<PendingRecord> m_queue;
  std::optional<BatchWrite> m_writing;
  bool m_reading = false;
  bool m_deleting = false;
  bool m_outage = false;  // The last create did not succeed.
  MonotonicTime m_retry_at{};
  WallTime m_pruned_at{};
};

}  // namespace hickoryloft::actions

#endif  // SOURCE_ACTIONS_ACTION_LEDGER_H_
