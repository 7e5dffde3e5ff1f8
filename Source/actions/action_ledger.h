// The ledger of one action shard: a chain of batches in the key-value service,
// each created once by compare-and-swap at the next sequence number.
//
// A holder answers only after its epoch batch stands in the chain. From then on
// the create of any earlier holder meets that batch, so an earlier holder
// learns that it is fenced before it can let anything run. Safety rests on that
// alone, not on clocks.

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

// Who writes.
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

// Asks to run an action. The sender may repeat it with the same attempt only
// while it has acted on no reply, and acts on one reply at most.
struct BeginRequest {
  std::uint64_t m_token = 0;  // The caller's number for the reply.
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
  kRefused,  // Not run; m_reason says why.
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

// One batch of the chain as it stands in the key-value service.
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

// How a CreateBatch ended.
enum class CreateOutcome {
  kCreated,
  kConflict,  // The key holds the batch in CreateResult::m_current.
  kNoEffect,
  kInDoubt,
};

struct CreateResult {
  CreateOutcome m_outcome = CreateOutcome::kInDoubt;
  Revision m_revision = 0;  // For kCreated.
  StoredBatch m_current;    // For kConflict.
};

// What the caller has to do, in this order.
struct LedgerEffects {
  bool m_read_chain = false;            // Answer with OnChain().
  std::optional<CreateBatch> m_create;  // Answer with OnCreate().
  std::optional<DeleteBatch> m_delete;  // Answer with OnDelete().
  std::vector<BeginReply> m_begins;
  std::vector<FinishReply> m_finishes;
  std::optional<Duration> m_wake_in;  // Call OnWake() after this time.
};

// Not thread-safe. At most one create is in flight.
class ActionLedger {
 public:
  ActionLedger(LedgerOwner owner, LedgerLimits limits);

  LedgerEffects Start();
  // `chain`: all batches in the order of their sequences, or none if the read
  // failed.
  LedgerEffects OnChain(const std::optional<std::vector<StoredBatch>>& chain,
                        LedgerTime time);
  LedgerEffects OnCreate(const CreateResult& result, LedgerTime time);
  LedgerEffects OnDelete(bool deleted);
  LedgerEffects OnWake(LedgerTime time);

  LedgerEffects Begin(const BeginRequest& request, LedgerTime time);
  LedgerEffects Finish(const FinishRequest& request, LedgerTime time);

  // Refuses all that waits. Nothing may be called afterwards.
  LedgerEffects Stop();

  bool serving() const { return m_phase == Phase::kServing; }
  bool fenced() const { return m_phase == Phase::kFenced; }
  // Whether records wait to become durable.
  bool busy() const { return !m_queue.empty() || m_writing.has_value(); }
  std::size_t chain_bytes() const { return m_chain_bytes; }
  std::size_t size() const { return m_table.size(); }

 private:
  enum class Phase { kReading, kTakingOver, kServing, kFenced };

  enum class Waiting { kNothing, kBegin, kFinish };
  // A record on its way into the chain, with who waits for it.
  struct Pending {
    ActionRecord m_record;
    Waiting m_waiting = Waiting::kNothing;
    std::uint64_t m_token = 0;
    bool m_abandoned = false;  // The start was refused while in doubt.
  };
  struct Writing {
    std::vector<Pending> m_items;
    std::uint64_t m_nonce = 0;
    std::string m_text;
    bool m_sent = false;
    bool m_in_doubt = false;  // An earlier send may have had its effect.
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
  void NoteBatch(std::uint64_t sequence,
                 Revision revision,
                 std::size_t bytes,
                 const std::vector<ActionRecord>& records);
  void TakeOver(LedgerTime time, LedgerEffects& effects);
  void Enqueue(Pending pending, LedgerEffects& effects);
  // Starts the next write if none is in flight.
  void WriteNext(LedgerEffects& effects);
  void Send(LedgerEffects& effects);
  void Commit(Revision revision, LedgerTime time, LedgerEffects& effects);
  void CommitItem(Pending item, LedgerTime time, LedgerEffects& effects);
  void OnConflict(const StoredBatch& current,
                  LedgerTime time,
                  LedgerEffects& effects);
  void OnNoEffect(LedgerTime time, LedgerEffects& effects);
  void OnInDoubt(LedgerTime time, LedgerEffects& effects);
  void RefuseQueuedBegins(LedgerEffects& effects);
  void Fence(LedgerEffects& effects);
  void Retain(WallTime wall, LedgerEffects& effects);
  BeginReply Judge(const ActionState& state,
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
  std::deque<Pending> m_queue;
  std::optional<Writing> m_writing;
  bool m_reading = false;
  bool m_deleting = false;
  bool m_outage = false;  // The last create did not succeed.
  MonotonicTime m_retry_at{};
  WallTime m_forgot_at{};
};

}  // namespace hickoryloft::actions

#endif  // SOURCE_ACTIONS_ACTION_LEDGER_H_
