// RequestFlow: the ends of a request that are not its endpoint's answer, and
// what all ends have in common.

#include <utility>

#include "base/log.h"
#include "host/endpoint_finder.h"
#include "host/request_flow.h"
#include "host/retry_after.h"

namespace hickoryloft::host {

namespace {

const Logger kLog("request");

}  // namespace

void RequestFlow::Refuse(const std::string& reason,
                         std::optional<Duration> retry_after) {
  if (RelayDoubtfulAnswer()) {
    return;
  }
  if (m_stream_started) {
    BreakOff(reason);
    return;
  }
  AnswerWithProblem(not_run() ? 503 : 502, not_run() ? "refused" : "failed",
                    reason, retry_after);
}

void RequestFlow::Abort() {
  if (finished()) {
    return;
  }
  if (m_end_check) {
    FinishUnframedAnswer(UnframedEnd::kUncertain);
    return;
  }
  EndSend(SendEnd::kMayHaveRun);
  // An answer with Retry-After could be taken for "not run".
  Refuse("host_stops", not_run() ? std::optional(Duration{}) : std::nullopt);
}

void RequestFlow::CheckUnframedEnd() {
  // The events of a stream have been passed on already.
  m_end_check = m_context.m_probe.Ask(
      m_address,
      m_stream_started ? EndpointProbe::Start::kSettled
                       : EndpointProbe::Start::kAtOnce,
      [this, ended_at = m_context.m_loop.Now()](ProbeResult result) {
        FinishUnframedAnswer(
            JudgeUnframedEnd(AfterEndOfConnection(result, ended_at)));
      });
}

AfterEnd RequestFlow::AfterEndOfConnection(ProbeResult result,
                                           MonotonicTime ended_at) const {
  if (result != ProbeResult::kGone) {
    return result == ProbeResult::kAnswers ? AfterEnd::kAnswers
                                           : AfterEnd::kSilent;
  }
  const fleet::Departures& departures = m_context.m_knowledge.departures();
  const bool leaving =
      departures.IsLeaving(m_endpoint, m_endpoint_started_at_ms);
  const bool finished =
      departures.MayHaveFinished(m_endpoint, m_endpoint_started_at_ms, ended_at,
                                 m_context.m_settings.m_bounds.m_drain);
  kLog.Info("endpoint is gone after its answer ended with its connection",
            {{"id", m_admitted.m_request.m_id},
             {"endpoint", m_endpoint.value()},
             {"events", m_events.events()},
             {"leaving", leaving ? 1 : 0},
             {"may_have_finished", finished ? 1 : 0}});
  return finished ? AfterEnd::kLeft : AfterEnd::kCrashed;
}

void RequestFlow::FinishUnframedAnswer(UnframedEnd end) {
  m_end_check.reset();
  if (end == UnframedEnd::kBrokenOff) {
    OnUnusableAnswer(m_stream_started ? SendOutcome::kStreamBrokenOff
                                      : SendOutcome::kAnswerBrokenOff);
    return;
  }
  if (end == UnframedEnd::kWhole) {
    RecordSoundAnswer();
  }
  if (end == UnframedEnd::kMayBeCut && AskAgainInDoubt()) {
    return;
  }
  RelayCompleteAnswer();
}

bool RequestFlow::AskAgainInDoubt() {
  if (!MayRepeat() || m_sends >= kMaxSends || !MaySendNow()) {
    return false;
  }
  const fleet::EndpointEntry* entry =
      EndpointFinder(m_context, m_requirements).Choose();
  if (entry == nullptr ||
      !m_context.m_retry_budget(m_admitted.m_service)
           .TryRetry(m_context.m_host_count(), m_context.m_loop.Now())) {
    return false;
  }
  kLog.Info("answer may have been cut; asking another endpoint",
            {{"id", m_admitted.m_request.m_id},
             {"endpoint", m_endpoint.value()},
             {"last_id", m_events.last_id()}});
  m_doubtful_answer = std::move(m_answer);
  Send(*entry);
  return true;
}

bool RequestFlow::RelayDoubtfulAnswer() {
  if (!m_doubtful_answer) {
    return false;
  }
  m_answer = *std::exchange(m_doubtful_answer, std::nullopt);
  RelayCompleteAnswer();
  return true;
}

void RequestFlow::BreakOff(const std::string& reason) {
  m_exchange->Abort();
  Finish("broken_off", reason);
}

void RequestFlow::OnCallerDisconnected() {
  EndSend(SendEnd::kMayHaveRun);
  Finish("caller_left", "");
}

void RequestFlow::OnDeadline() {
  if (m_end_check) {
    FinishUnframedAnswer(UnframedEnd::kUncertain);
    return;
  }
  if (m_executions.sending()) {
    AvoidEndpoint();
  }
  EndSend(SendEnd::kMayHaveRun);
  if (RelayDoubtfulAnswer()) {
    return;
  }
  if (m_stream_started) {
    BreakOff("deadline");
    return;
  }
  if (not_run()) {
    AnswerWithProblem(503, "refused", "deadline_passed_waiting", std::nullopt);
    return;
  }
  AnswerWithProblem(504, "failed", "deadline", std::nullopt);
}

void RequestFlow::AnswerWithProblem(int status,
                                    const std::string& outcome,
                                    const std::string& reason,
                                    std::optional<Duration> retry_after) {
  EndSend(SendEnd::kMayHaveRun);
  http::HeaderFields headers = {{"Content-Type", "application/problem+json"}};
  if (retry_after) {
    headers.push_back(RetryAfterField(*retry_after));
  }
  if (outcome == "refused") {
    m_context.m_metrics.CountRefusal(reason);
  }
  m_exchange->Answer(status, headers, ProblemBody(status, reason));
  Finish(outcome, reason);
}

void RequestFlow::Finish(const std::string& outcome,
                         const std::string& reason) {
  if (finished()) {
    return;
  }
  m_phase = Phase::kFinished;
  m_end_check.reset();
  EndSend(SendEnd::kMayHaveRun);
  m_deadline_timer.reset();
  m_exchange->Watch(nullptr, nullptr);
  if (outcome == "answered") {
    m_context.m_metrics.m_whole_answer.Record(Waited());
  }
  m_context.m_metrics.CountOutcome(fleet::ToText(m_admitted.m_route->m_kind),
                                   m_admitted.m_account, outcome);
  kLog.Info("over", {{"id", m_admitted.m_request.m_id},
                     {"outcome", outcome},
                     {"reason", reason},
                     {"sends", m_sends},
                     {"events", m_events.events()},
                     {"after_ms", ToMillis(Waited()).count()}});
  m_context.m_on_finished(*this);
}

void RequestFlow::OnOverBudget(const BufferBudget::Excess& excess) {
  const std::string reason =
      "answers need more than " + std::to_string(excess.m_limit) +
      " bytes of memory, and those of this endpoint most: " +
      std::to_string(excess.m_peer_bytes);
  m_context.m_metrics.CountAnswerOverBudget();
  if (!m_stream_started) {
    OnFailed(Error(ErrorCode::kProtocol, reason));
    return;
  }
  // The memory is that of output which the caller does not read.
  kLog.Warn("breaking off a stream",
            {{"id", m_admitted.m_request.m_id},
             {"endpoint", m_endpoint.value()},
             {"bytes", static_cast<std::uint64_t>(excess.m_bytes)},
             {"reason", reason}});
  EndSend(SendEnd::kMayHaveRun);
  if (!RelayDoubtfulAnswer()) {
    BreakOff("answer_memory");
  }
}

}  // namespace hickoryloft::host
