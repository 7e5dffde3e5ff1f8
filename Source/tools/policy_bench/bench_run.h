// Replays an arrival trace against a BenchFleet and simulates the callers and
// entries.

#ifndef SOURCE_TOOLS_POLICY_BENCH_BENCH_RUN_H_
#define SOURCE_TOOLS_POLICY_BENCH_BENCH_RUN_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "tools/policy_bench/bench_fleet.h"
#include "tools/policy_bench/bench_result.h"
#include "tools/policy_bench/policy_set.h"
#include "tools/policy_bench/trace.h"
#include "tools/policy_bench/virtual_clock.h"

namespace hickoryloft::tools {

// One replay. Deterministic: the same arguments give the same result. Not
// thread-safe.
class BenchRun : private FleetListener {
 public:
  // The references must outlive this object.
  BenchRun(const TraceSpec& spec,
           const PolicySet& policies,
           std::uint64_t seed);

  // Replays the whole trace. Call once.
  BenchResult Run();

 private:
  // A request that waits for a replica.
  struct WaitingRequest {
    Arrival m_arrival;
    placement::Artifact m_artifact;
    MonotonicTime m_arrived_at{};
    Duration m_min_load_time{};
    bool m_cold = false;
    bool m_retry = false;  // Sent again after a refusal.
  };
  struct Refusal {
    MonotonicTime m_at{};
    Duration m_retry_after{};
  };

  void OnAnswer(const placement::DemandAnswer& answer) override;
  void OnReady(const placement::Artifact& artifact) override;

  void ScheduleNextArrival();
  void OnArrival(const Arrival& arrival, bool retry);
  void SendDemand(std::uint64_t id);
  void ReportWarmUse(const WaitingRequest& request);
  void Serve(std::uint64_t id, FakeEngine& engine);
  void GiveUp(std::uint64_t id);
  void Refuse(std::uint64_t id, const placement::DemandAnswer& answer);
  void RecordResult(const WaitingRequest& request, const RequestRecord& record);
  RequestRecord MakeRecord(const WaitingRequest& request,
                           Outcome outcome) const;

  const TraceSpec& m_spec;
  VirtualClock m_clock;
  Trace m_trace;
  BenchResult m_result;
  BenchFleet m_fleet;
  RandomEngine m_random;
  MonotonicTime m_trace_start{};
  std::size_t m_next_arrival = 0;
  std::uint64_t m_last_id = 0;
  std::map<std::uint64_t, WaitingRequest> m_waiting_requests;
  std::map<placement::Artifact, std::vector<std::uint64_t>>
      m_waiting_by_artifact;
  std::map<placement::Artifact, std::vector<Refusal>> m_refusals;
  // When an entry last reported to the shard that it uses a warm replica.
  std::map<std::pair<std::uint32_t, placement::Artifact>, MonotonicTime>
      m_last_use_reports;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_POLICY_BENCH_BENCH_RUN_H_
