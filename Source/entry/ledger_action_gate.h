// At-most-once execution by means of the coordinators' action ledger.

#ifndef SOURCE_ENTRY_LEDGER_ACTION_GATE_H_
#define SOURCE_ENTRY_LEDGER_ACTION_GATE_H_

#include <map>
#include <memory>

#include "base/event_loop.h"
#include "entry/action_gate.h"
#include "entry/coordinator_link.h"

namespace hickoryloft::entry {

// Sends its requests to the coordinator of this host. Use on the loop's thread
// only; `loop` and `link` must outlive the gate.
class LedgerActionGate : public ActionGate {
 public:
  LedgerActionGate(EventLoop& loop, CoordinatorLink& link);

  void Begin(const ActionRequest& request,
             Duration limit,
             std::function<void(Result<ActionDecision>)> callback) override;
  void Finish(const ActionRequest& request,
              std::uint64_t attempt,
              ActionResult result,
              const RecordedAnswer& answer,
              std::function<void(bool)> recorded) override;

  // Returns whether results of attempts are still to be recorded.
  bool busy() const { return !m_finishes.empty(); }

 private:
  struct BeginCall {
    ActionRequest m_request;
    std::uint64_t m_attempt = 0;
    MonotonicTime m_deadline{};
    MonotonicTime m_shard_move_deadline{};
    std::function<void(Result<ActionDecision>)> m_callback;
    std::unique_ptr<Timer> m_retry_timer;
  };
  struct FinishCall {
    wire::ActionFinishT m_message;
    MonotonicTime m_deadline{};
    std::function<void(bool)> m_recorded;
    std::unique_ptr<Timer> m_retry_timer;
  };

  void SendBegin(std::uint64_t call_id);
  void OnBeginReply(std::uint64_t call_id,
                    MonotonicTime sent_at,
                    const Result<wire::EnvelopeT>& reply);
  // Schedules another ActionBegin after `delay` and returns true, or returns
  // false if too little time is left.
  bool RetryBegin(std::uint64_t call_id, Duration delay);
  void EndBegin(std::uint64_t call_id, Result<ActionDecision> result);
  void SendFinish(std::uint64_t call_id);
  void OnFinishReply(std::uint64_t call_id,
                     const Result<wire::EnvelopeT>& reply);

  EventLoop& m_loop;
  CoordinatorLink& m_link;
  std::uint64_t m_next_call_id = 1;
  std::map<std::uint64_t, BeginCall> m_begins;
  std::map<std::uint64_t, FinishCall> m_finishes;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_LEDGER_ACTION_GATE_H_
