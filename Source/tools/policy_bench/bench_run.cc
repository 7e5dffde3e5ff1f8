#include "tools/policy_bench/bench_run.h"

#include <algorithm>

namespace hickoryloft::tools {
namespace {

using placement::Artifact;
using placement::DemandVerdict;

constexpr Duration kMessageTime = milliseconds(1);
constexpr Duration kAskAgain = seconds(1);
constexpr Duration kTouchInterval = seconds(1);
constexpr Duration kLeastService = milliseconds(500);
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
  m_begin = m_clock.Now() + seconds(1);
  m_fleet.Start();
  ScheduleNext();
  constexpr Duration kAfterwards = seconds(60);
  m_clock.RunUntil(m_begin + m_spec.m_duration);
  m_fleet.Finish();
  m_clock.RunUntil(m_begin + m_spec.m_duration + kAfterwards);
  return std::move(m_result);
}

void BenchRun::ScheduleNext() {
  if (m_next >= m_trace.m_arrivals.size()) {
    return;
  }
  const Arrival& arrival = m_trace.m_arrivals[m_next++];
  m_clock.At(m_begin + arrival.m_at, [this, &arrival] {
    Arrive(arrival, /*retry=*/false);
    ScheduleNext();
  });
}

void BenchRun::Arrive(const Arrival& arrival, bool retry) {
  const std::uint64_t id = m_last_id += kIdStep;
  const Artifact artifact{.m_model = arrival.m_model,
                          .m_adapter = arrival.m_adapter,
                          .m_version = "1"};
  Waiting& request = m_waiting[id];
  request = {.m_arrival = arrival,
             .m_artifact = artifact,
             .m_arrived = m_clock.Now(),
             .m_retry = retry};
  if (FakeEngine* engine = m_fleet.Route(artifact)) {
    Touch(request);
    Serve(id, *engine);
    return;
  }
  request.m_cold = true;
  request.m_bound = m_fleet.LoadBound(artifact);
  m_by_artifact[artifact].push_back(id);
  m_clock.After(arrival.m_patience, [this, id] { GiveUp(id); });
  Ask(id);
}

void BenchRun::Ask(std::uint64_t id) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) {
    return;
  }
  const Waiting& request = found->second;
  const Duration left =
      request.m_arrival.m_patience - (m_clock.Now() - request.m_arrived);
  const placement::Demand demand{.m_id = id,
                                 .m_model = request.m_artifact.m_model,
                                 .m_adapter = request.m_artifact.m_adapter,
                                 .m_patience = left};
  m_clock.After(kMessageTime, [this, demand] { m_fleet.Ask(demand); });
}

void BenchRun::Touch(const Waiting& request) {
  MonotonicTime& last =
      m_touched[{request.m_arrival.m_entry, request.m_artifact}];
  if (m_clock.Now() - last < kTouchInterval) {
    return;
  }
  last = m_clock.Now();
  const placement::Demand demand{.m_id = m_last_id + 1,
                                 .m_model = request.m_artifact.m_model,
                                 .m_adapter = request.m_artifact.m_adapter};
  m_clock.After(kMessageTime, [this, demand] { m_fleet.Ask(demand); });
}

RequestRecord BenchRun::RecordOf(const Waiting& request,
                                 Outcome outcome) const {
  return {.m_account = request.m_arrival.m_account,
          .m_outcome = outcome,
          .m_cold = request.m_cold,
          .m_wait = m_clock.Now() - request.m_arrived,
          .m_bound = request.m_bound};
}

void BenchRun::Record(const Waiting& request, const RequestRecord& record) {
  if (request.m_retry) {
    m_result.CountRetry(record.m_outcome == Outcome::kServed);
  } else {
    m_result.Add(record);
  }
}

void BenchRun::Serve(std::uint64_t id, FakeEngine& engine) {
  const auto found = m_waiting.find(id);
  const Artifact artifact = found->second.m_artifact;
  Record(found->second, RecordOf(found->second, Outcome::kServed));
  m_waiting.erase(found);
  engine.BeginRequest(artifact);
  std::exponential_distribution<double> extra(1 / kMeanExtraServiceSeconds);
  m_clock.After(kLeastService + FromSeconds(extra(m_random)),
                [&engine, artifact] { engine.EndRequest(artifact); });
}

void BenchRun::GiveUp(std::uint64_t id) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) {
    return;
  }
  Record(found->second, RecordOf(found->second, Outcome::kLate));
  m_waiting.erase(found);
}

void BenchRun::Refuse(std::uint64_t id, const placement::DemandAnswer& answer) {
  const auto found = m_waiting.find(id);
  RequestRecord record = RecordOf(found->second, Outcome::kRefused);
  record.m_reason = answer.m_reason;
  Record(found->second, record);
  if (!found->second.m_retry) {
    m_refusals[found->second.m_artifact].push_back(
        {m_clock.Now(), answer.m_retry_after});
    m_clock.After(answer.m_retry_after,
                  [this, arrival = found->second.m_arrival] {
                    Arrive(arrival, /*retry=*/true);
                  });
  }
  m_waiting.erase(found);
}

void BenchRun::OnAnswer(const placement::DemandAnswer& answer) {
  const std::uint64_t id = answer.m_id;
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) {
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
  m_clock.After(std::max<Duration>(answer.m_ready_in, kAskAgain),
                [this, id] { Ask(id); });
}

void BenchRun::OnReady(const Artifact& artifact) {
  for (const Refusal& refusal : std::exchange(m_refusals[artifact], {})) {
    m_result.AddRetry(refusal.m_retry_after, m_clock.Now() - refusal.m_at);
  }
  for (const std::uint64_t id : std::exchange(m_by_artifact[artifact], {})) {
    if (m_waiting.count(id) == 0) {
      continue;
    }
    if (FakeEngine* engine = m_fleet.Route(artifact)) {
      Serve(id, *engine);
    } else {
      m_by_artifact[artifact].push_back(id);
    }
  }
}

}  // namespace hickoryloft::tools
