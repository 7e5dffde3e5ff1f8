// loft-decision-bench: measures the time of one placement and one routing
// decision and the memory per adapter, at the fleet size of docs/CAPACITY.md.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>

#include "base/random.h"
#include "placement/shard.h"
#include "routing/two_choices.h"

namespace hickoryloft {
namespace {

constexpr int kEndpoints = 600;
constexpr int kModels = 130;
constexpr int kAdaptersPerRangeUnit = 150;
constexpr int kFailureDomains = 6;
constexpr std::uint64_t kEngineBytes = 320'000'000'000;
constexpr std::uint64_t kModelBytes = 14'000'000'000;
constexpr std::uint64_t kAdapterBytes = 60'000'000;
const MonotonicTime kStart{std::chrono::hours(1)};

ModelId ModelAt(int index) {
  return ModelId("bench/m" + std::to_string(index));
}

AdapterId AdapterAt(int index) {
  return AdapterId("a" + std::to_string(index));
}

placement::Catalog MakeCatalog(int adapters) {
  placement::Catalog catalog;
  for (int index = 0; index < kModels; ++index) {
    catalog[ModelAt(index)] = {.m_id = ModelAt(index),
                               .m_version = "1",
                               .m_bytes = kModelBytes,
                               .m_peak_bytes = kModelBytes,
                               .m_max_replicas = 8};
  }
  for (int index = 0; index < adapters; ++index) {
    catalog[ModelAt(index % kModels)].m_adapters[AdapterAt(index)] = {
        .m_version = "1", .m_bytes = kAdapterBytes};
  }
  return catalog;
}

// One shard with all models loaded, and their adapters on top of them. It has
// 16 times the state of a production shard.
class LoadedShard {
 public:
  explicit LoadedShard(int adapters)
      : m_heap_before(mallinfo2().uordblks),
        m_shard({.m_scope = "placement/0"},
                {.m_endpoint = std::make_unique<placement::TierAwarePolicy>(),
                 .m_retention =
                     std::make_unique<placement::HistogramRetentionPolicy>(
                         placement::kRetentionDefaults),
                 .m_load_order =
                     std::make_unique<placement::EarliestDeadlinePolicy>()},
                1) {
    m_shard.SetCatalog(MakeCatalog(adapters),
                       {{ServiceId("bench"), {{1000, 1000}, 1'000'000}}},
                       kStart);
    for (int index = 0; index < kEndpoints; ++index) {
      m_shard.OnEndpoint({.m_id = EndpointId("e" + std::to_string(index)),
                          .m_failure_domain = FailureDomainId(
                              "d" + std::to_string(index % kFailureDomains)),
                          .m_checks_fencing = true,
                          .m_memory_bytes = kEngineBytes},
                         kStart);
    }
    m_shard.OnRecovered({}, kStart);
    for (int index = 0; index < kModels; ++index) {
      LoadArtifact(ModelAt(index), AdapterId());
    }
    for (int index = 0; index < adapters; ++index) {
      LoadArtifact(ModelAt(index % kModels), AdapterAt(index));
    }
    m_heap_bytes = mallinfo2().uordblks - m_heap_before;
  }

  std::size_t heap_bytes() const { return m_heap_bytes; }

  // Demands an artifact and executes all resulting effects immediately.
  void LoadArtifact(const ModelId& model, const AdapterId& adapter) {
    ExecuteEffects(m_shard.OnDemand({.m_id = ++m_last_demand,
                                     .m_model = model,
                                     .m_adapter = adapter,
                                     .m_patience = std::chrono::hours(1)},
                                    kStart));
  }

  placement::Effects SendDemand(const ModelId& model,
                                const AdapterId& adapter) {
    return m_shard.OnDemand({.m_id = ++m_last_demand,
                             .m_model = model,
                             .m_adapter = adapter,
                             .m_patience = std::chrono::hours(1)},
                            kStart);
  }

  std::size_t replicas() const { return m_shard.replicas().all().size(); }

 private:
  std::size_t m_heap_before = 0;
  std::size_t m_heap_bytes = 0;

  void ExecuteEffects(const placement::Effects& effects) {
    for (const placement::Effect& effect : effects) {
      if (const auto* swap = std::get_if<placement::SwapRecord>(&effect)) {
        ExecuteEffects(m_shard.OnRecord({.m_record = swap->m_record,
                                         .m_swapped = true,
                                         .m_revision = ++m_revision},
                                        kStart));
      } else if (const auto* order =
                     std::get_if<placement::SendOrder>(&effect)) {
        ExecuteEffects(m_shard.OnInventory(
            order->m_endpoint,
            {.m_memory_bytes = kEngineBytes,
             .m_items = {{.m_artifact = order->m_order.m_artifact,
                          .m_phase = endpoint::ArtifactPhase::kReady,
                          .m_bytes = order->m_order.m_bytes,
                          .m_order_number = order->m_order.m_number}}},
            kStart - seconds(1), kStart));
      }
    }
  }

  placement::Shard m_shard;
  placement::DemandId m_last_demand = 0;
  Revision m_revision = 0;
};

// Returns the shard with `adapters` adapters. It is created on first use and
// shared by all benchmarks.
LoadedShard& ShardWith(int adapters) {
  static std::map<int, std::unique_ptr<LoadedShard>> shards;
  std::unique_ptr<LoadedShard>& shard = shards[adapters];
  if (!shard) {
    shard = std::make_unique<LoadedShard>(adapters);
  }
  return *shard;
}

void WarmDemand(benchmark::State& state) {
  const int adapters = static_cast<int>(state.range(0)) * kAdaptersPerRangeUnit;
  LoadedShard& shard = ShardWith(adapters);
  int next = 0;
  for (auto _ : state) {
    next = (next + 7) % adapters;
    benchmark::DoNotOptimize(
        shard.SendDemand(ModelAt(next % kModels), AdapterAt(next)));
  }
  state.counters["replicas"] = static_cast<double>(shard.replicas());
  state.counters["heap_bytes_per_adapter"] =
      static_cast<double>(shard.heap_bytes()) / adapters;
}
BENCHMARK(WarmDemand)->RangeMultiplier(10)->Range(1, 100);

void ChooseEndpoint(benchmark::State& state) {
  placement::ReplicaTable replicas;
  const placement::TierAwarePolicy policy;
  std::map<EndpointId, placement::EndpointLedger> ledgers;
  placement::EndpointChooser chooser(
      policy, replicas,
      [&ledgers](const EndpointId& id) { return &ledgers[id]; });
  const int adapters = static_cast<int>(state.range(0)) * kAdaptersPerRangeUnit;
  for (int index = 0; index < kEndpoints; ++index) {
    const EndpointId id("e" + std::to_string(index));
    chooser.Update({.m_id = id,
                    .m_failure_domain = FailureDomainId(
                        "d" + std::to_string(index % kFailureDomains)),
                    .m_memory_bytes = kEngineBytes});
    for (int adapter = index; adapter < adapters; adapter += kEndpoints) {
      ledgers[id].m_reservations[{.m_model = ModelAt(adapter % kModels),
                                  .m_adapter = AdapterAt(adapter),
                                  .m_version = "1"}] = {
          .m_bytes = kAdapterBytes, .m_counts_peak = false};
    }
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        chooser.Choose({.m_artifact = {.m_model = ModelAt(0), .m_version = "1"},
                        .m_bytes = kModelBytes,
                        .m_load_bytes = kModelBytes},
                       nullptr));
  }
}
BENCHMARK(ChooseEndpoint)->RangeMultiplier(10)->Range(1, 100);

std::string ServedName(int adapter) {
  return ModelAt(adapter % kModels).value() + ":" + AdapterAt(adapter).value() +
         "@1";
}

void Route(benchmark::State& state) {
  const int adapters = static_cast<int>(state.range(0)) * kAdaptersPerRangeUnit;
  routing::EndpointTable table;
  for (int index = 0; index < kEndpoints; ++index) {
    routing::EndpointRecord record{.m_id =
                                       EndpointId("e" + std::to_string(index))};
    for (int adapter = index; adapter < adapters; adapter += kEndpoints) {
      record.m_replicas.push_back(
          {.m_served_name = ServedName(adapter), .m_ready = true});
    }
    table.Update(std::move(record));
  }
  routing::LoadTracker loads;
  routing::TwoChoices chooser(loads);
  RandomEngine random(1);
  int next = 0;
  for (auto _ : state) {
    next = (next + 7) % adapters;
    const auto& candidates = table.Ready(ServedName(next));
    benchmark::DoNotOptimize(chooser.Choose(candidates, {}, kStart, random));
  }
}
BENCHMARK(Route)->RangeMultiplier(10)->Range(1, 100);

}  // namespace
}  // namespace hickoryloft

BENCHMARK_MAIN();
