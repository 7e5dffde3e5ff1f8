// Dispatches completion requests to engines, at once or through a queue.

#ifndef SOURCE_ENTRY_ENGINE_DISPATCHER_H_
#define SOURCE_ENTRY_ENGINE_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/event_loop.h"
#include "base/random.h"
#include "entry/entry_settings.h"
#include "routing/admission_policy.h"
#include "routing/answer_estimate.h"
#include "routing/endpoint_chooser.h"
#include "routing/endpoint_table.h"
#include "routing/load_tracker.h"
#include "routing/request_queue.h"

namespace hickoryloft::entry {

// A request to be sent to an engine.
struct EngineJob {
  routing::QueuedRequest m_request;
  routing::PrefixChain m_prefix;
  std::vector<EndpointId> m_avoid;  // Endpoints that failed this request.
  // Called when the job may be sent to the endpoint. The job counts as in
  // flight there until OnCallEnded() is called.
  std::function<void(const routing::EndpointRecord&)> m_dispatch;
  // Called after the job was removed from the queue because no ready replica is
  // left.
  std::function<void()> m_replica_lost;
};

enum class SubmitOutcome {
  kDispatched,
  kQueued,
  kNoReplica,  // No replica is ready; the job was not accepted.
  kRefused,    // No first answer is expected in time; not accepted.
};

struct SubmitResult {
  SubmitOutcome m_outcome = SubmitOutcome::kRefused;
  routing::AdmissionDecision m_admission;
};

// Selects an engine for each job, and queues jobs while no engine has capacity.
// Use on the loop's thread only. All arguments must outlive it.
class EngineDispatcher {
 public:
  // Interval at which the queue is checked, since load reports expire without
  // an event.
  static constexpr Duration kQueueCheckInterval = milliseconds(20);

  EngineDispatcher(EventLoop& loop,
                   const EntrySettings& settings,
                   routing::EndpointTable& table,
                   routing::LoadTracker& loads,
                   RandomEngine& random);

  // Dispatches or queues `job`, or returns why it did neither.
  SubmitResult Submit(EngineJob job);
  // Removes the job `id` if it is queued.
  void Cancel(std::uint64_t id);

  // Records that a call to `endpoint` has ended, and dispatches queued jobs.
  void OnCallEnded(const EndpointId& endpoint);
  void OnReport(const EndpointId& endpoint, const routing::LoadReport& report);
  void OnFirstAnswer(const std::string& served_name, Duration time);
  // Adds `tokens`, which may be negative, to the charge of an account.
  void AdjustCharge(const ClientAccountId& account,
                    double weight,
                    double tokens);
  void OnTableChanged();

  // Returns the expected time from sending a call to the first byte of its
  // answer.
  Duration ExpectedFirstAnswer(const std::string& served_name) const;

  routing::EndpointTable& table() { return m_table; }
  std::size_t queued() const { return m_queue->size(); }

 private:
  using Candidates = routing::EndpointTable::Candidates;

  bool HasCapacity(const EndpointId& endpoint, MonotonicTime now) const;
  Candidates CandidatesWithCapacity(const std::string& served_name,
                                    const std::vector<EndpointId>& avoid) const;
  bool IsDispatchable(const std::string& served_name) const;
  bool HasIdleEndpoint(const Candidates& candidates) const;
  void Dispatch(const EngineJob& job, const Candidates& available);
  void DispatchQueued();

  EventLoop& m_loop;
  DispatchLimits m_limits;
  routing::EndpointTable& m_table;
  routing::LoadTracker& m_loads;
  RandomEngine& m_random;
  std::unique_ptr<routing::EndpointChooser> m_chooser;
  std::unique_ptr<routing::RequestQueue> m_queue;
  std::unique_ptr<routing::AdmissionPolicy> m_admission;
  std::unordered_map<std::string, routing::AnswerEstimate> m_estimates;
  std::unordered_map<std::uint64_t, EngineJob> m_queued_jobs;  // By request id.
  std::unique_ptr<Timer> m_queue_timer;  // Set while jobs are queued.
  bool m_dispatching_queue = false;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_ENGINE_DISPATCHER_H_
