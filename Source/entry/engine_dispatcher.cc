#include "entry/engine_dispatcher.h"

#include <algorithm>

#include "routing/estimate_admission.h"
#include "routing/fair_queue.h"
#include "routing/first_come_queue.h"
#include "routing/least_reported_load.h"
#include "routing/queue_limit_admission.h"
#include "routing/round_robin.h"
#include "routing/round_robin_account_queue.h"
#include "routing/two_choices.h"

namespace hickoryloft::entry {

namespace {

std::unique_ptr<routing::EndpointChooser> MakeChooser(
    const std::string& name,
    const routing::LoadTracker& loads) {
  if (name == "round-robin") {
    return std::make_unique<routing::RoundRobin>();
  }
  if (name == "least-reported-load") {
    return std::make_unique<routing::LeastReportedLoad>(loads);
  }
  return std::make_unique<routing::TwoChoices>(loads);
}

std::unique_ptr<routing::RequestQueue> MakeQueue(const std::string& name) {
  if (name == "first-come") {
    return std::make_unique<routing::FirstComeQueue>();
  }
  if (name == "round-robin-accounts") {
    return std::make_unique<routing::RoundRobinAccountQueue>();
  }
  return std::make_unique<routing::FairQueue>();
}

std::unique_ptr<routing::AdmissionPolicy> MakeAdmission(
    const PolicyNames& policy) {
  if (policy.m_admission == "queue-limit") {
    return std::make_unique<routing::QueueLimitAdmission>(policy.m_queue_limit);
  }
  return std::make_unique<routing::EstimateAdmission>();
}

}  // namespace

EngineDispatcher::EngineDispatcher(EventLoop& loop,
                                   const EntrySettings& settings,
                                   routing::EndpointTable& table,
                                   routing::LoadTracker& loads,
                                   RandomEngine& random)
    : m_loop(loop),
      m_limits(settings.m_dispatch),
      m_table(table),
      m_loads(loads),
      m_random(random),
      m_chooser(MakeChooser(settings.m_policy.m_chooser, loads)),
      m_queue(MakeQueue(settings.m_policy.m_queue)),
      m_admission(MakeAdmission(settings.m_policy)) {}

bool EngineDispatcher::HasCapacity(const EndpointId& endpoint,
                                   MonotonicTime now) const {
  const std::uint32_t in_flight = m_loads.InFlight(endpoint);
  if (in_flight == 0) {
    return true;  // Always allows one call, whose answer brings a load report.
  }
  return in_flight < m_limits.m_in_flight &&
         m_loads.Waiting(endpoint, now) < m_limits.m_engine_waiting;
}

EngineDispatcher::Candidates EngineDispatcher::CandidatesWithCapacity(
    const std::string& served_name,
    const std::vector<EndpointId>& avoid) const {
  const MonotonicTime now = m_loop.Now();
  Candidates available;
  Candidates avoided;
  for (const routing::EndpointRecord* record : m_table.Ready(served_name)) {
    if (!HasCapacity(record->m_id, now)) {
      continue;
    }
    const bool failed =
        std::find(avoid.begin(), avoid.end(), record->m_id) != avoid.end();
    (failed ? avoided : available).push_back(record);
  }
  return available.empty() ? avoided : available;
}

bool EngineDispatcher::IsDispatchable(const std::string& served_name) const {
  const MonotonicTime now = m_loop.Now();
  const Candidates& ready = m_table.Ready(served_name);
  return std::any_of(ready.begin(), ready.end(),
                     [&](const routing::EndpointRecord* record) {
                       return HasCapacity(record->m_id, now);
                     });
}

bool EngineDispatcher::HasIdleEndpoint(const Candidates& candidates) const {
  return std::any_of(candidates.begin(), candidates.end(),
                     [this](const routing::EndpointRecord* record) {
                       return m_loads.InFlight(record->m_id) == 0;
                     });
}

SubmitResult EngineDispatcher::Submit(EngineJob job) {
  const routing::QueuedRequest& request = job.m_request;
  if (m_table.Ready(request.m_served_name).empty()) {
    return {.m_outcome = SubmitOutcome::kNoReplica, .m_admission = {}};
  }
  const Candidates available =
      CandidatesWithCapacity(request.m_served_name, job.m_avoid);
  const routing::AnswerEstimate& estimate = m_estimates[request.m_served_name];
  const bool dispatch_now = !available.empty();
  const SubmitResult result{
      .m_outcome = SubmitOutcome::kRefused,
      .m_admission = m_admission->Decide(
          {.m_patience = request.m_deadline - m_loop.Now(),
           .m_ready_in = {},
           .m_ahead = dispatch_now
                          ? 0
                          : m_queue->Ahead(request.m_account, request.m_weight),
           .m_interval = estimate.DispatchInterval(),
           .m_first_answer = estimate.FirstAnswer()})};
  // An idle endpoint is used despite the estimate; otherwise a stale estimate
  // would refuse all requests and never be updated.
  if (!result.m_admission.m_admitted && !HasIdleEndpoint(available)) {
    return result;
  }
  if (dispatch_now) {
    m_queue->Charge(request.m_account, request.m_weight,
                    static_cast<double>(request.m_tokens));
    Dispatch(job, available);
    return {SubmitOutcome::kDispatched, result.m_admission};
  }
  m_queue->Push(request);
  const std::uint64_t id = request.m_id;
  m_queued_jobs.emplace(id, std::move(job));
  if (!m_queue_timer) {
    m_queue_timer =
        m_loop.Every(kQueueCheckInterval, [this] { DispatchQueued(); });
  }
  return {SubmitOutcome::kQueued, result.m_admission};
}

void EngineDispatcher::Dispatch(const EngineJob& job,
                                const Candidates& available) {
  const MonotonicTime now = m_loop.Now();
  const routing::EndpointRecord* chosen =
      m_chooser->Choose(available, job.m_prefix, now, m_random);
  m_loads.OnSent(chosen->m_id, now);
  job.m_dispatch(*chosen);
}

void EngineDispatcher::DispatchQueued() {
  if (m_dispatching_queue) {
    return;
  }
  m_dispatching_queue = true;
  const auto dispatchable = [this](const std::string& served_name) {
    return IsDispatchable(served_name);
  };
  while (const auto request = m_queue->Pop(dispatchable)) {
    const auto node = m_queued_jobs.extract(request->m_id);
    m_estimates[request->m_served_name].RecordDispatch(m_loop.Now(),
                                                       m_queue->size() > 0);
    Dispatch(node.mapped(), CandidatesWithCapacity(request->m_served_name,
                                                   node.mapped().m_avoid));
  }
  m_dispatching_queue = false;
  if (m_queued_jobs.empty()) {
    m_queue_timer.reset();
  }
}

void EngineDispatcher::Cancel(std::uint64_t id) {
  if (m_queued_jobs.erase(id) == 1) {
    m_queue->Remove(id);
  }
}

void EngineDispatcher::OnCallEnded(const EndpointId& endpoint) {
  m_loads.OnFinished(endpoint, m_loop.Now());
  if (!m_queued_jobs.empty()) {
    DispatchQueued();
  }
}

void EngineDispatcher::OnReport(const EndpointId& endpoint,
                                const routing::LoadReport& report) {
  m_loads.OnReport(endpoint, report);
}

void EngineDispatcher::OnFirstAnswer(const std::string& served_name,
                                     Duration time) {
  m_estimates[served_name].RecordFirstAnswer(time);
}

void EngineDispatcher::AdjustCharge(const ClientAccountId& account,
                                    double weight,
                                    double tokens) {
  m_queue->Charge(account, weight, tokens);
}

void EngineDispatcher::OnTableChanged() {
  std::vector<EngineJob> lost;
  for (auto job = m_queued_jobs.begin(); job != m_queued_jobs.end();) {
    if (m_table.Ready(job->second.m_request.m_served_name).empty()) {
      m_queue->Remove(job->first);
      lost.push_back(std::move(job->second));
      job = m_queued_jobs.erase(job);
    } else {
      ++job;
    }
  }
  for (const EngineJob& job : lost) {
    job.m_replica_lost();
  }
  DispatchQueued();
}

Duration EngineDispatcher::ExpectedFirstAnswer(
    const std::string& served_name) const {
  const auto found = m_estimates.find(served_name);
  return found == m_estimates.end() ? Duration{} : found->second.FirstAnswer();
}

}  // namespace hickoryloft::entry
