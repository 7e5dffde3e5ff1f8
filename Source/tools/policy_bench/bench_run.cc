#include "tools/policy_bench/bench_run.h"

#include <algorithm>

namespace hickoryloft::tools {
namespace {

using placement::Artifact;
using placement::DemandVerdict;

constexpr Duration kMessageDelay = milliseconds(1);
constexpr Duration kMinDemandRetryDelay = seconds(1);
constexpr Duration kUseReportInterval = seconds(1);
constexpr Duration kMinServiceTime = milliseconds(500);
constexpr double kMeanExtraServiceSeconds = 1.5;
// Demands of waiting requests have even ids, reports of warm use odd ones.
constexpr std::uint64_t kIdStep = 2;

}  // namespace

BenchRun::BenchRun(const TraceSpec& spec,
                   const PolicySet& policies,
                   std::uint64_t seed)
    : m_spec(spec),
      m_trace(MakeTrace(spec, seed)),
      m_fleet(m_clock, spec, policies, m_trace, seed, m_result, *this),
      m_random(seed) {}

BenchResult BenchRun::Run() {
  m_trace_start = m_clock.Now() + seconds(1);
  m_fleet.Start();
  ScheduleNextArrival();
  constexpr Duration kDrainTime = seconds(60);
  m_clock.RunUntil(m_trace_start + m_spec.m_duration);
  m_fleet.RecordIdleMemory();
  m_clock.RunUntil(m_trace_start + m_spec.m_duration + kDrainTime);
  return std::move(m_result);
}

void BenchRun::ScheduleNextArrival() {
  if (m_next_arrival >= m_trace.m_arrivals.size()) {
    return;
  }
  const Arrival& arrival = m_trace.m_arrivals[m_next_arrival++];
  m_clock.RunAt(m_trace_start + arrival.m_at, [this, &arrival] {
    OnArrival(arrival, /*retry=*/false);
    ScheduleNextArrival();
  });
}

void BenchRun::OnArrival(const Arrival& arrival, bool retry) {
  const std::uint64_t id = m_last_id += kIdStep;
  const Artifact artifact{.m_model = arrival.m_model,
                          .m_adapter = arrival.m_adapter,
                          .m_version = "1"};
  WaitingRequest& request = m_waiting_requests[id];
  request = {.m_arrival = arrival,
             .m_artifact = artifact,
             .m_arrived_at = m_clock.Now(),
             .m_retry = retry};
  if (FakeEngine* engine = m_fleet.Route(artifact)) {
    ReportWarmUse(request);
    Serve(id, *engine);
    return;
  }
  request.m_cold = true;
  request.m_min_load_time = m_fleet.MinLoadTime(artifact);
  m_waiting_by_artifact[artifact].push_back(id);
  m_clock.RunAfter(arrival.m_patience, [this, id] { GiveUp(id); });
  SendDemand(id);
}

void BenchRun::SendDemand(std::uint64_t id) {
  const auto found = m_waiting_requests.find(id);
  if (found == m_waiting_requests.end()) {
    return;
  }
  const WaitingRequest& request = found->second;
  const Duration left =
      request.m_arrival.m_patience - (m_clock.Now() - request.m_arrived_at);
  const placement::Demand demand{.m_id = id,
                                 .m_model = request.m_artifact.m_model,
                                 .m_adapter = request.m_artifact.m_adapter,
                                 .m_patience = left};
  m_clock.RunAfter(kMessageDelay,
                   [this, demand] { m_fleet.SendDemand(demand); });
}

void BenchRun::ReportWarmUse(const WaitingRequest& request) {
  MonotonicTime& last =
      m_last_use_reports[{request.m_arrival.m_entry, request.m_artifact}];
  if (m_clock.Now() - last < kUseReportInterval) {
    return;
  }
  last = m_clock.Now();
  const placement::Demand demand{.m_id = m_last_id + 1,
                                 .m_model = request.m_artifact.m_model,
                                 .m_adapter = request.m_artifact.m_adapter};
  m_clock.RunAfter(kMessageDelay,
                   [this, demand] { m_fleet.SendDemand(demand); });
}

RequestRecord BenchRun::MakeRecord(const WaitingRequest& request,
                                   Outcome outcome) const {
  return {.m_account = request.m_arrival.m_account,
          .m_outcome = outcome,
          .m_cold = request.m_cold,
          .m_wait = m_clock.Now() - request.m_arrived_at,
          .m_min_load_time = request.m_min_load_time};
}

void BenchRun::RecordResult(const WaitingRequest& request,
                            const RequestRecord& record) {
  if (request.m_retry) {
    m_result.CountRetry(record.m_outcome == Outcome::kServed);
  } else {
    m_result.AddRequest(record);
  }
}

void BenchRun::Serve(std::uint64_t id, FakeEngine& engine) {
  const auto found = m_waiting_requests.find(id);
  const Artifact artifact = found->second.m_artifact;
  RecordResult(found->second, MakeRecord(found->second, Outcome::kServed));
  m_waiting_requests.erase(found);
  engine.BeginRequest(artifact);
  std::exponential_distribution<double> extra(1 / kMeanExtraServiceSeconds);
  m_clock.RunAfter(kMinServiceTime + FromSeconds(extra(m_random)),
                   [&engine, artifact] { engine.EndRequest(artifact); });
}

void BenchRun::GiveUp(std::uint64_t id) {
  const auto found = m_waiting_requests.find(id);
  if (found == m_waiting_requests.end()) {
    return;
  }
  RecordResult(found->second, MakeRecord(found->second, Outcome::kLate));
  m_waiting_requests.erase(found);
}

void BenchRun::Refuse(std::uint64_t id, const placement::DemandAnswer& answer) {
  const auto found = m_waiting_requests.find(id);
  RequestRecord record = MakeRecord(found->second, Outcome::kRefused);
  record.m_reason = answer.m_reason;
  RecordResult(found->second, record);
  if (!found->second.m_retry) {
    m_refusals[found->second.m_artifact].push_back(
        {m_clock.Now(), answer.m_retry_after});
    m_clock.RunAfter(answer.m_retry_after,
                     [this, arrival = found->second.m_arrival] {
                       OnArrival(arrival, /*retry=*/true);
                     });
  }
  m_waiting_requests.erase(found);
}

void BenchRun::OnAnswer(const placement::DemandAnswer& answer) {
  const std::uint64_t id = answer.m_id;
  const auto found = m_waiting_requests.find(id);
  if (found == m_waiting_requests.end()) {
    return;
  }
  if (answer.m_verdict == DemandVerdict::kRefused) {
    Refuse(id, answer);
    return;
  }
  if (FakeEngine* engine = m_fleet.Route(found->second.m_artifact)) {
    Serve(id, *engine);
    return;
  }
  m_clock.RunAfter(std::max<Duration>(answer.m_ready_in, kMinDemandRetryDelay),
                   [this, id] { SendDemand(id); });
}

void BenchRun::OnReady(const Artifact& artifact) {
  for (const Refusal& refusal : std::exchange(m_refusals[artifact], {})) {
    m_result.AddRetryError(refusal.m_retry_after, m_clock.Now() - refusal.m_at);
  }
  for (const std::uint64_t id :
       std::exchange(m_waiting_by_artifact[artifact], {})) {
    if (m_waiting_requests.count(id) == 0) {
      continue;
    }
    if (FakeEngine* engine = m_fleet.Route(artifact)) {
      Serve(id, *engine);
    } else {
      m_waiting_by_artifact[artifact].push_back(id);
    }
  }
}

}  // namespace hickoryloft::tools
