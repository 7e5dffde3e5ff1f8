// Runs the production placement shards in virtual time with simulated engines,
// a simulated weight store and records in memory.

#ifndef SOURCE_TOOLS_POLICY_BENCH_BENCH_FLEET_H_
#define SOURCE_TOOLS_POLICY_BENCH_BENCH_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "placement/shard.h"
#include "tools/policy_bench/bench_result.h"
#include "tools/policy_bench/fake_engine.h"
#include "tools/policy_bench/fake_store.h"
#include "tools/policy_bench/policy_set.h"
#include "tools/policy_bench/trace.h"
#include "tools/policy_bench/virtual_clock.h"

namespace hickoryloft::tools {

// Receives the answers to demands, and an event for each replica that becomes
// ready.
class FleetListener {
 public:
  virtual ~FleetListener() = default;

  virtual void OnAnswer(const placement::DemandAnswer& answer) = 0;
  virtual void OnReady(const placement::Artifact& artifact) = 0;
};

// Not thread-safe.
class BenchFleet {
 public:
  // The references must outlive this object.
  BenchFleet(VirtualClock& clock,
             const TraceSpec& spec,
             const PolicySet& policies,
             const Trace& trace,
             std::uint64_t seed,
             BenchResult& result,
             FleetListener& listener);

  // Starts the shards and schedules the faults of the trace.
  void Start();
  // Passes the demand to the shard of its model. Retries while the shard has no
  // claim holder.
  void SendDemand(const placement::Demand& demand);
  // Returns the engine with the fewest running requests among the live ones
  // whose ready replica of the artifact was published, or nullptr.
  FakeEngine* Route(const placement::Artifact& artifact);
  // Returns the shortest time in which the artifact's base model could be
  // loaded from the store or on any live engine, without contention.
  Duration MinLoadTime(const placement::Artifact& artifact) const;
  // Records the idle memory of the engines in the result. Call at the end of
  // the trace.
  void RecordIdleMemory();

 private:
  struct ShardHolder {
    std::unique_ptr<placement::Shard> m_shard;
    FencingNumber m_fence = 0;
    placement::Catalog m_catalog;
  };
  struct StoredRecord {
    std::string m_value;
    Revision m_revision = 0;
  };
  using Shard = placement::Shard;

  void MakeEngines(std::uint64_t seed);
  void StartHolder(std::size_t index);
  void ReplaceHolder(std::size_t index);
  void FailDomain();
  Shard* FindShard(std::size_t index, FencingNumber fence);
  std::size_t ShardIndex(const ModelId& model) const;
  placement::EndpointView MakeEndpointView(const FakeEngine& engine) const;
  void PublishEndpointView(const FakeEngine& engine);
  void Tick(std::size_t index);

  void ExecuteEffects(std::size_t index,
                      FencingNumber fence,
                      const placement::Effects& effects);
  void Execute(std::size_t index,
               FencingNumber fence,
               const placement::SwapRecord& effect);
  void Execute(std::size_t index,
               FencingNumber fence,
               const placement::ReadRecord& effect);
  void Execute(std::size_t index,
               FencingNumber fence,
               const placement::ReadAllRecords& effect);
  void Execute(std::size_t index,
               FencingNumber fence,
               const placement::SendOrder& effect);
  void Execute(std::size_t index,
               FencingNumber fence,
               const placement::RaiseFence& effect);
  void Execute(std::size_t index,
               FencingNumber fence,
               const placement::FetchInventory& effect);
  void Execute(std::size_t index,
               FencingNumber fence,
               const placement::AnswerDemand& effect);
  void Execute(std::size_t index,
               FencingNumber fence,
               const placement::RequestReplicaRelease& effect);
  placement::RecordReply LookUpRecord(
      const placement::RecordName& record) const;
  placement::RecordReply ApplySwap(const placement::SwapRecord& swap);
  // Calls `event` with the shard after `delay` and executes the returned
  // effects, unless the claim holder has changed by then.
  void ScheduleEvent(Duration delay,
                     std::size_t index,
                     FencingNumber fence,
                     std::function<placement::Effects(Shard&)> event);
  void PublishReady(std::size_t index);

  VirtualClock& m_clock;
  const TraceSpec& m_spec;
  const PolicySet& m_policies;
  const Trace& m_trace;
  BenchResult& m_result;
  FleetListener& m_listener;
  FakeStore m_store;
  AdapterLoads m_adapter_loads;
  std::vector<std::unique_ptr<FakeEngine>> m_engines;
  std::map<EndpointId, FakeEngine*> m_engines_by_id;
  std::vector<ShardHolder> m_holders;
  FencingNumber m_last_fence = 0;
  std::map<placement::RecordName, StoredRecord> m_records;
  Revision m_revision = 0;
  // Engines whose ready replicas have been published to the entries.
  std::map<placement::Artifact, std::vector<FakeEngine*>> m_ready_engines;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_POLICY_BENCH_BENCH_FLEET_H_
