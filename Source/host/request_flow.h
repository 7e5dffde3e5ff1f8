// Handles one admitted request until its caller has an answer.

#ifndef SOURCE_HOST_REQUEST_FLOW_H_
#define SOURCE_HOST_REQUEST_FLOW_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/buffer_budget.h"
#include "fleet/caller_request.h"
#include "fleet/configuration_view.h"
#include "host/endpoint_finder.h"
#include "host/event_splitter.h"
#include "host/execution_record.h"
#include "host/received_answer.h"
#include "host/request_context.h"
#include "host/unframed_end.h"
#include "http/server_exchange.h"

namespace hickoryloft::host {

// Waits for an endpoint, sends it the request and relays its answer. A request
// that is not repeatable is sent again only if it is certain that no endpoint
// has executed it. Use on the loop's thread only.
class RequestFlow {
 public:
  // The request and what admission determined about it.
  struct Admitted {
    fleet::CallerRequest m_request;
    std::shared_ptr<const fleet::ConfigurationView> m_configuration;
    const fleet::Route* m_route = nullptr;  // Of m_configuration.
    ServiceId m_service;
    ClientAccountId m_account;  // Empty on open routes.
    // Regions that the account allows; empty: all.
    std::set<RegionId> m_account_homes;
    int m_urgency = 0;    // 0 is served first.
    double m_tokens = 0;  // Charged to the account.

    // An answer after this time is useless to the caller. Precondition: m_route
    // is set.
    MonotonicTime deadline() const {
      return m_request.m_received_at + time_limit();
    }
    Duration time_limit() const {
      return std::min(m_route->m_timeout,
                      m_request.m_deadline.value_or(m_route->m_timeout));
    }
  };

  RequestFlow(RequestContext& context,
              std::shared_ptr<http::ServerExchange> exchange,
              Admitted admitted);
  ~RequestFlow();
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  // Sends the request to an endpoint, or queues it if none is available. Call
  // once.
  void Start();

  // Looks for an endpoint again. Returns whether the request is still waiting.
  // Precondition: waiting().
  bool RetryDispatch();
  // Ends a request that is not at an endpoint: with status 503 if no endpoint
  // can have executed it, otherwise with 502. A stream that has started is
  // aborted instead, because its status has been sent.
  // Precondition: no send is under way.
  void Refuse(const std::string& reason, std::optional<Duration> retry_after);
  // Ends the request in any state, because the host stops, like Refuse(). A
  // request that is at an endpoint may have been executed.
  void Abort();

  bool waiting() const { return m_phase == Phase::kWaiting; }
  bool finished() const { return m_phase == Phase::kFinished; }
  // Whether it is certain that no endpoint has executed the request.
  bool not_run() const { return m_executions.not_run(); }
  // Returns counts of the endpoints by availability, for the log.
  std::string DescribeEndpoints() const {
    return EndpointFinder(m_context, m_requirements).Describe();
  }
  const Admitted& admitted() const { return m_admitted; }
  MonotonicTime received_at() const {
    return m_admitted.m_request.m_received_at;
  }
  // An answer after this time is useless to the caller.
  MonotonicTime deadline() const { return m_deadline; }

 private:
  // Limit on the sends of one request, including those that were not executed.
  static constexpr int kMaxSends = 4;

  enum class Phase { kNew, kWaiting, kSent, kStreaming, kFinished };

  bool Dispatch();
  // Ends the request if a part of its prompt, or the request itself, is held.
  // Returns whether it did.
  bool RejectHeldPart();
  // Ends the request if it can be sent to no endpoint of its service. Returns
  // whether it did.
  bool RejectUnreachable(routing::ServiceReach reach);
  void Send(const fleet::EndpointEntry& entry);
  void OnHead(const endpoint::AnswerHead& head);
  void OnBytes(std::string_view bytes);
  void OnDone();
  // Finds out whether an answer that had neither a length nor chunks is whole,
  // now that its connection has ended.
  void CheckUnframedEnd();
  void FinishUnframedAnswer(UnframedEnd end);
  // Asks another endpoint for an answer that may have been cut, or for what
  // follows the last event of a stream, if the route allows it and an endpoint
  // is available now. Returns whether it did.
  bool AskAgainInDoubt();
  // Ends the request with the answer that may have been cut, if there is one
  // and no more has come. Returns whether it did.
  bool RelayDoubtfulAnswer();
  // Ends a stream that has started without more of it.
  void BreakOff(const std::string& reason);
  // Returns what the endpoint did after it ended its connection at `ended_at`.
  AfterEnd AfterEndOfConnection(ProbeResult result,
                                MonotonicTime ended_at) const;
  // The answer proves that the endpoint works and that the request is sound.
  void RecordSoundAnswer();
  // Passes the rest of an answer on and ends the request.
  void RelayCompleteAnswer();
  // Handles an answer that is not relayed as it is. Precondition: `outcome` is
  // neither kComplete nor kNotExecuted.
  void OnUnusableAnswer(SendOutcome outcome);
  void OnFailed(const Error& error);
  // Updates the memory that this request uses for the answer. May end sends,
  // this one included.
  void MeasureBuffer();
  // Ends the send, because all answers together need too much memory.
  void OnOverBudget(const BufferBudget::Excess& excess);
  // Records that the endpoint may have ended because of the request.
  void ReportEarlyEnd();
  // Records a failure of the current endpoint, which is then avoided for a
  // while. `refused`: it refused the connection.
  void AvoidEndpoint(bool refused = false);
  void OnNotExecuted(int status);
  void OnCallerDisconnected();
  void OnDeadline();
  void RelayWholeAnswer();
  void RelayEvents(const std::string& events);
  // Sends the request again after a failed send if that is allowed, otherwise
  // ends it.
  void RetryOrFinish(bool may_have_run, const std::string& reason);
  bool MayRepeat() const;
  // Whether the account's key and the prompt are valid as far as is known now,
  // and an endpoint can still answer in time.
  bool MaySendNow() const;
  // Ends the send that is under way, if any. Every end of a send comes here:
  // what `end` says decides about refusals, repeats and the account's tokens.
  void EndSend(SendEnd end);
  void AnswerWithProblem(int status,
                         const std::string& outcome,
                         const std::string& reason,
                         std::optional<Duration> retry_after);
  void Finish(const std::string& outcome, const std::string& reason);
  Duration Waited() const;

  RequestContext& m_context;
  std::shared_ptr<http::ServerExchange> m_exchange;
  Admitted m_admitted;
  Phase m_phase = Phase::kNew;
  MonotonicTime m_deadline;
  std::unique_ptr<Timer> m_deadline_timer;

  // The current send.
  std::unique_ptr<endpoint::Call> m_call;
  EndpointId m_endpoint;
  endpoint::EndpointAddress m_address;
  std::int64_t m_endpoint_started_at_ms = 0;
  MonotonicTime m_sent_at;
  ReceivedAnswer m_answer;
  std::optional<BufferBudget::Buffer> m_buffer;
  // Runs after the send if the end of its answer has to be confirmed.
  std::shared_ptr<EndpointProbe::Check> m_end_check;

  // State of all sends.
  EndpointRequirements m_requirements;
  std::vector<admission::PartInUse> m_parts;
  int m_sends = 0;
  ExecutionRecord m_executions;
  EventSplitter m_events;
  bool m_stream_started = false;
  // An answer, or the last part of a stream, that may be whole, while another
  // endpoint is asked.
  std::optional<ReceivedAnswer> m_doubtful_answer;
  // The request is let through although one of m_parts is held.
  bool m_is_trial = false;
  // Whether an answer has proved that the prompt does not crash endpoints.
  bool m_prompt_proved = false;
  MonotonicTime m_last_event_at;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_REQUEST_FLOW_H_
