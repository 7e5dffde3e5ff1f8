// Handles one completion request: reserves tokens, finds a replica, calls the
// engine and relays its answer.

#ifndef SOURCE_ENTRY_COMPLETION_FLOW_H_
#define SOURCE_ENTRY_COMPLETION_FLOW_H_

#include <memory>
#include <string>
#include <vector>

#include "entry/caller_exchange.h"
#include "entry/completion_body.h"
#include "entry/engine_call.h"
#include "entry/entry_context.h"
#include "routing/prefix_chain.h"

namespace hickoryloft::entry {

// Answers one request for a model. Kept alive by RunningRequests until it
// ends. Use on the loop's thread only.
class CompletionFlow : public RunningRequest,
                       public std::enable_shared_from_this<CompletionFlow> {
 public:
  // Maximum number of times that an interrupted stream is resumed.
  static constexpr int kMaxResumes = 3;
  // Maximum number of times that a request is rerouted after an engine refused
  // it without running it.
  static constexpr int kMaxReroutes = 8;

  CompletionFlow(EntryContext& context,
                 std::shared_ptr<CallerExchange> exchange,
                 std::shared_ptr<const Principal> principal,
                 CompletionBody body,
                 endpoint::Artifact artifact,
                 Duration patience);

  // Starts handling the request.
  void Start();

  const Principal* principal() const override { return m_principal.get(); }
  void AbortForWithdrawnKey() override;
  void Abort() override;

 private:
  void OnTokenDecision(const Result<TokenDecision>& decision);
  // Submits the request to the dispatcher; waits if no replica is ready.
  void Route();
  EngineJob MakeJob();
  void WaitForReplica();
  void OnDemandResult(const DemandResult& result);
  void StartCall(const routing::EndpointRecord& endpoint);
  endpoint::CallRequest MakeCallRequest(const routing::EndpointRecord& endpoint,
                                        const std::string& request_id);
  EngineCallEvents MakeEvents();

  void OnLoad(const EngineLoad& load);
  void OnEvents(const endpoint::SseBatch& batch);
  void OnDone(const endpoint::AnswerHead& head, const std::string& body);
  void OnFailed(const EngineFailure& failure);
  bool MayRetry(const EngineFailure& failure);
  void Retry();
  void EndCall();

  void OnFirstAnswer();
  void ArmDeadline(Duration patience);
  void OnDeadline();
  void OnCallerLeft();
  void Refuse(const Problem& problem);
  void FinishStream();
  // Cancels what is pending, settles the tokens and removes the request from
  // RunningRequests.
  void End();
  void SettleTokens();

  EntryContext& m_context;
  std::shared_ptr<CallerExchange> m_exchange;
  std::shared_ptr<const Principal> m_principal;
  CompletionBody m_body;
  endpoint::Artifact m_artifact;
  std::string m_served_name;
  std::string m_rendered_body;  // The body sent to engines.
  Duration m_patience;
  const RequestSeries& m_series;
  routing::PrefixChain m_prefix;
  std::uint64_t m_id = 0;
  MonotonicTime m_deadline{};
  std::unique_ptr<Timer> m_deadline_timer;

  bool m_ended = false;
  bool m_tokens_reserved = false;  // The token reservation was admitted.
  bool m_call_sent = false;        // A call may have reached an engine.
  bool m_stream_started = false;
  bool m_paused = false;  // The caller is slower than the engine.
  bool m_finish_reason_relayed = false;
  bool m_cold_start = false;  // Waited for a replica.
  bool m_store_limited =
      false;  // The load was refused because of the weight store.
  Duration m_token_wait{};
  std::uint64_t m_delivered_tokens = 0;  // Output tokens sent to the caller.
  TokenUsage m_usage;
  int m_attempts = 0;
  int m_reroutes = 0;
  int m_resumes = 0;
  std::vector<EndpointId> m_failed_endpoints;
  EndpointId m_endpoint;  // Endpoint of the current call.
  MonotonicTime m_call_started{};
  std::unique_ptr<EngineCall> m_call;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_COMPLETION_FLOW_H_
