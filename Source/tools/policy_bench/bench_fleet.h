// The placement shards of the product over fake engines, a fake weight store
// and fake records, in virtual time.

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

// Hears of the fleet's answers and of replicas that became ready.
class FleetListener {
 public:
  virtual ~FleetListener() = default;

  virtual void OnAnswer(const placement::DemandAnswer& answer) = 0;
  virtual void OnReady(const placement::Artifact& artifact) = 0;
};

// Not thread-safe.
class BenchFleet {
 public:
  // The references must outlive this.
  BenchFleet(VirtualClock& clock,
             const TraceSpec& spec,
             const PolicySet& policies,
             const Trace& trace,
             std::uint64_t seed,
             BenchResult& result,
             FleetListener& listener);

  // Starts the shards and the faults of the trace.
  void Start();
  // Passes a demand to its shard.
  void Ask(const placement::Demand& demand);
  // Returns the engine for a request among those where the artifact is ready,
  // or nullptr.
  FakeEngine* Route(const placement::Artifact& artifact);
  // Returns the least time of a load on any engine with nothing in progress.
  Duration LoadBound(const placement::Artifact& artifact) const;
  // Takes the final figures of the engines.
  void Finish();

 private:
  struct Holder {
    std::unique_ptr<placement::Shard> m_shard;
    FencingNumber m_fence = 0;
    placement::Catalog m_catalog;
  };
  struct Stored {
    std::string m_value;
    Revision m_revision = 0;
  };
  using Shard = placement::Shard;

  void MakeEngines(std::uint64_t seed);
  void StartHolder(std::size_t index);
  void RestartNext(std::size_t index);
  void LoseDomain();
  Shard* Find(std::size_t index, FencingNumber fence);
  std::size_t IndexOf(const ModelId& model) const;
  placement::EndpointView ViewOf(const FakeEngine& engine) const;
  void TellOfEngine(const FakeEngine& engine);
  void Tick(std::size_t index);

  void CarryOut(std::size_t index,
                FencingNumber fence,
                const placement::Effects& effects);
  void Do(std::size_t index,
          FencingNumber fence,
          const placement::SwapRecord& effect);
  void Do(std::size_t index,
          FencingNumber fence,
          const placement::ReadRecord& effect);
  void Do(std::size_t index,
          FencingNumber fence,
          const placement::ReadAllRecords& effect);
  void Do(std::size_t index,
          FencingNumber fence,
          const placement::SendOrder& effect);
  void Do(std::size_t index,
          FencingNumber fence,
          const placement::RaiseFence& effect);
  void Do(std::size_t index,
          FencingNumber fence,
          const placement::FetchInventory& effect);
  void Do(std::size_t index,
          FencingNumber fence,
          const placement::AnswerDemand& effect);
  void Do(std::size_t index,
          FencingNumber fence,
          const placement::RequestReplicaRelease& effect);
  placement::RecordReply ReadNow(const placement::RecordName& record) const;
  placement::RecordReply SwapNow(const placement::SwapRecord& swap);
  // Gives `event` to the shard after `delay` if its holder is still there.
  void Later(Duration delay,
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
  std::map<EndpointId, FakeEngine*> m_by_id;
  std::vector<Holder> m_holders;
  FencingNumber m_last_fence = 0;
  std::map<placement::RecordName, Stored> m_records;
  Revision m_revision = 0;
  // Replicas that the entries have been told of.
  std::map<placement::Artifact, std::vector<FakeEngine*>> m_ready;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_POLICY_BENCH_BENCH_FLEET_H_
