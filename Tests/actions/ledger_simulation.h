// Simulates the holders of one action shard, their key-value service, and
// entries that run the actions they are allowed to run. Counts executions,
// which a test compares with the limit of one.

#ifndef TESTS_ACTIONS_LEDGER_SIMULATION_H_
#define TESTS_ACTIONS_LEDGER_SIMULATION_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "actions/action_ledger.h"

namespace hickoryloft::actions {

// How the key-value service treats one call.
enum class StoreFault {
  kNone,
  kLostReply,  // Applied; the outcome is in doubt for the holder.
  kLate,       // Applied later; in doubt for the holder.
  kLost,       // Never applied; in doubt for the holder.
  kNoEffect,   // Never applied; reported as such to the holder.
};

class LedgerSimulation {
 public:
  explicit LedgerSimulation(const LedgerLimits& limits = {})
      : m_limits(limits) {
    TakeOver();
  }

  // Starts another holder without informing the earlier ones.
  void TakeOver() {
    const LedgerOwner owner{.m_fence = ++m_fence,
                            .m_incarnation = static_cast<Incarnation>(m_fence)};
    m_holders.push_back({.m_ledger = ActionLedger(owner, m_limits)});
    const std::size_t holder = m_holders.size() - 1;
    RunEffects(holder, m_holders[holder].m_ledger.Start());
  }

  void Advance(Duration step) {
    m_time.m_now += step;
    m_time.m_wall += std::chrono::floor<milliseconds>(step);
    for (std::size_t i = 0; i < m_holders.size(); ++i) {
      RunEffects(i, m_holders[i].m_ledger.OnWake(m_time));
    }
  }

  // Completes one pending store call of a holder, if there is any.
  void StepStore(std::size_t index, StoreFault fault) {
    const std::size_t holder = index % m_holders.size();
    Holder& target = m_holders[holder];
    if (target.m_read_pending) {
      target.m_read_pending = false;
      const bool read = fault == StoreFault::kNone;
      RunEffects(holder,
                 target.m_ledger.OnChain(
                     read ? std::optional(Chain()) : std::nullopt, m_time));
    } else if (target.m_delete) {
      const DeleteBatch remove = *target.m_delete;
      target.m_delete.reset();
      const bool effect = fault == StoreFault::kNone;
      if (effect) {
        m_store.erase(remove.m_sequence);
      }
      RunEffects(holder, target.m_ledger.OnDelete(effect));
    } else if (target.m_create) {
      const CreateBatch create = *target.m_create;
      target.m_create.reset();
      RunEffects(holder,
                 target.m_ledger.OnCreate(Create(create, fault), m_time));
    }
  }

  // Applies the oldest write with fault kLate.
  void ApplyLateWrite() {
    if (!m_late.empty()) {
      const CreateBatch create = m_late.front();
      m_late.pop_front();
      TryCreate(create);
    }
  }

  // An entry requests to run `key` from a holder, which may be stale.
  void Begin(std::size_t holder,
             const std::string& key,
             const std::string& digest) {
    const std::uint64_t attempt = ++m_next_attempt;
    m_attempts[attempt] = {.m_key = key, .m_digest = digest};
    SendBegin(holder % m_holders.size(), attempt);
  }

  // The caller of `attempt` sends its request again, to the newest holder.
  void RepeatRequest(std::uint64_t attempt) {
    const Attempt asked = m_attempts.at(attempt);
    Begin(m_holders.size() - 1, asked.m_key, asked.m_digest);
  }

  // An entry that has acted on no reply sends its begin again.
  void Repeat(std::size_t holder, std::uint64_t attempt) {
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end() && found->second.m_state == State::kAsked) {
      SendBegin(holder % m_holders.size(), attempt);
    }
  }

  // The entry abandons its begin and reports that the action has not run.
  void GiveUp(std::size_t holder, std::uint64_t attempt) {
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() ||
        (found->second.m_state != State::kAsked &&
         found->second.m_state != State::kGivenUp)) {
      return;
    }
    found->second.m_state = State::kGivenUp;
    SendFinish(holder, attempt, RecordKind::kClosed, {});
  }

  // The entry reports the answer of the action that it ran, possibly again.
  void Report(std::size_t holder, std::uint64_t attempt) {
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end() && found->second.m_state == State::kRun) {
      SendFinish(holder, attempt, RecordKind::kAnswered, AnswerOf(attempt));
    }
  }

  // Completes all pending work without faults.
  void Settle() {
    for (int round = 0; round < 60; ++round) {
      for (std::size_t i = 0; i < m_holders.size(); ++i) {
        StepStore(i, StoreFault::kNone);
      }
      Advance(milliseconds(100));
    }
  }

  const std::map<std::string, int>& executions() const { return m_executions; }
  const std::vector<std::string>& faults() const { return m_faults; }
  // Attempts whose answer a holder reported as recorded.
  const std::set<std::uint64_t>& recorded() const { return m_recorded; }
  std::size_t stored() const { return m_store.size(); }
  std::uint64_t attempts() const { return m_next_attempt; }
  std::optional<BeginVerdict> VerdictOf(std::uint64_t attempt) const {
    return m_attempts.at(attempt).m_verdict;
  }
  ActionLedger& newest() { return m_holders.back().m_ledger; }
  std::size_t holders() const { return m_holders.size(); }

 private:
  enum class State { kAsked, kRun, kGivenUp, kEnded };
  struct Attempt {
    std::string m_key;
    std::string m_digest;
    State m_state = State::kAsked;
    std::optional<BeginVerdict> m_verdict;
  };
  struct Holder {
    ActionLedger m_ledger;
    bool m_read_pending = false;
    std::optional<CreateBatch> m_create;
    std::optional<DeleteBatch> m_delete;
  };

  static ActionAnswer AnswerOf(std::uint64_t attempt) {
    return {.m_status = 200, .m_body = "\xff" + std::to_string(attempt)};
  }

  std::vector<StoredBatch> Chain() const {
    std::vector<StoredBatch> chain;
    for (const auto& [sequence, stored] : m_store) {
      chain.push_back(stored);
    }
    return chain;
  }

  CreateResult TryCreate(const CreateBatch& create) {
    const auto found = m_store.find(create.m_sequence);
    if (found != m_store.end()) {
      return {.m_outcome = CreateOutcome::kConflict,
              .m_current = found->second};
    }
    const Revision revision = ++m_revision;
    m_store[create.m_sequence] = {.m_sequence = create.m_sequence,
                                  .m_revision = revision,
                                  .m_text = create.m_text};
    return {.m_outcome = CreateOutcome::kCreated, .m_revision = revision};
  }

  CreateResult Create(const CreateBatch& create, StoreFault fault) {
    switch (fault) {
      case StoreFault::kNone:
        return TryCreate(create);
      case StoreFault::kLostReply:
        TryCreate(create);
        return {.m_outcome = CreateOutcome::kInDoubt};
      case StoreFault::kLate:
        m_late.push_back(create);
        return {.m_outcome = CreateOutcome::kInDoubt};
      case StoreFault::kLost:
        return {.m_outcome = CreateOutcome::kInDoubt};
      case StoreFault::kNoEffect:
        break;
    }
    return {.m_outcome = CreateOutcome::kNoEffect};
  }

  void SendBegin(std::size_t holder, std::uint64_t attempt) {
    const Attempt& asked = m_attempts.at(attempt);
    RunEffects(holder,
               m_holders[holder].m_ledger.Begin(
                   {.m_token = attempt,
                    .m_id = {.m_account = "clinic", .m_key = asked.m_key},
                    .m_digest = asked.m_digest,
                    .m_attempt = attempt},
                   m_time));
  }

  void SendFinish(std::size_t holder,
                  std::uint64_t attempt,
                  RecordKind kind,
                  const ActionAnswer& answer) {
    const std::size_t chosen = holder % m_holders.size();
    RunEffects(chosen, m_holders[chosen].m_ledger.Finish(
                           {.m_token = attempt,
                            .m_id = {.m_account = "clinic",
                                     .m_key = m_attempts.at(attempt).m_key},
                            .m_attempt = attempt,
                            .m_kind = kind,
                            .m_answer = answer},
                           m_time));
  }

  void RunEffects(std::size_t holder, const LedgerEffects& effects) {
    Holder& target = m_holders[holder];
    target.m_read_pending |= effects.m_read_chain;
    if (effects.m_create) {
      if (target.m_create) {
        m_faults.emplace_back("two creates in flight");
      }
      target.m_create = effects.m_create;
    }
    if (effects.m_delete) {
      target.m_delete = effects.m_delete;
    }
    for (const BeginReply& reply : effects.m_begins) {
      HandleReply(reply);
    }
    for (const FinishReply& reply : effects.m_finishes) {
      if (reply.m_recorded &&
          m_attempts.at(reply.m_token).m_state == State::kRun) {
        m_recorded.insert(reply.m_token);
      }
    }
  }

  // The entry acts on the first reply to an attempt and ignores later ones.
  void HandleReply(const BeginReply& reply) {
    Attempt& attempt = m_attempts.at(reply.m_token);
    if (attempt.m_state != State::kAsked) {
      return;
    }
    attempt.m_verdict = reply.m_verdict;
    attempt.m_state = State::kEnded;
    if (reply.m_verdict == BeginVerdict::kRun) {
      attempt.m_state = State::kRun;
      ++m_executions[attempt.m_key];
      m_answers[attempt.m_key] = AnswerOf(reply.m_token);
      m_digests[attempt.m_key] = attempt.m_digest;
    }
    if (reply.m_verdict == BeginVerdict::kAnswered &&
        (m_answers[attempt.m_key] != reply.m_answer ||
         m_digests[attempt.m_key] != attempt.m_digest)) {
      m_faults.emplace_back("a repeat got another request's answer");
    }
  }

  LedgerLimits m_limits;
  LedgerTime m_time{.m_now = MonotonicTime(std::chrono::hours(1)),
                    .m_wall = WallTime(std::chrono::hours(1000))};
  FencingNumber m_fence = 0;
  std::deque<Holder> m_holders;
  std::map<std::uint64_t, StoredBatch> m_store;
  Revision m_revision = 0;
  std::deque<CreateBatch> m_late;
  std::uint64_t m_next_attempt = 0;
  std::map<std::uint64_t, Attempt> m_attempts;
  std::map<std::string, int> m_executions;
  std::map<std::string, ActionAnswer> m_answers;
  std::map<std::string, std::string> m_digests;
  std::set<std::uint64_t> m_recorded;
  std::vector<std::string> m_faults;
};

}  // namespace hickoryloft::actions

#endif  // TESTS_ACTIONS_LEDGER_SIMULATION_H_
