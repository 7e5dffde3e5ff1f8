#include "tools/policy_bench/bench_fleet.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/hashing.h"

namespace hickoryloft::tools {
namespace {

using placement::Artifact;
using placement::Effects;

constexpr std::size_t kShards = 16;
constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kRecordAccessTime = milliseconds(3);  // Key-value service.
constexpr Duration kMessageDelay = milliseconds(1);  // One way, host to host.
constexpr Duration kTakeoverDelay = seconds(3);
constexpr Duration kLossDetectionDelay = milliseconds(1500);
constexpr Duration kLossConfirmationDelay = seconds(12);
constexpr double kMeanInitialDiskShare = 0.3;
const ServiceId kService("trace");

}  // namespace

BenchFleet::BenchFleet(VirtualClock& clock,
                       const TraceSpec& spec,
                       const PolicySet& policies,
                       const Trace& trace,
                       std::uint64_t seed,
                       BenchResult& result,
                       FleetListener& listener)
    : m_clock(clock),
      m_spec(spec),
      m_policies(policies),
      m_trace(trace),
      m_result(result),
      m_listener(listener),
      m_store(clock, spec.m_fleet),
      m_adapter_loads{0, spec.m_fleet.m_adapter_loads_in_flight},
      m_holders(kShards) {
  MakeEngines(seed);
  for (const auto& [id, model] : trace.m_catalog) {
    m_holders[ShardIndex(id)].m_catalog[id] = model;
  }
}

void BenchFleet::MakeEngines(std::uint64_t seed) {
  RandomEngine random(seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  for (std::uint32_t index = 0; index < m_spec.m_fleet.m_engines; ++index) {
    const std::uint32_t domain = index % m_spec.m_fleet.m_failure_domains;
    m_engines.push_back(std::make_unique<FakeEngine>(
        m_clock, m_spec.m_fleet, m_store, m_adapter_loads,
        EndpointId("engine-" + std::to_string(index)),
        FailureDomainId("domain-" + std::to_string(domain))));
    m_engines_by_id[m_engines.back()->id()] = m_engines.back().get();
    for (const auto& [id, model] : m_trace.m_catalog) {
      // Uneven: engines with a higher index have more checkpoints on disk.
      const double share = 2 * kMeanInitialDiskShare * index /
                           std::max(m_spec.m_fleet.m_engines - 1, 1U);
      if (uniform(random) < share) {
        m_engines.back()->CacheOnDisk({.m_model = id, .m_version = "1"},
                                      model.m_bytes);
      }
    }
  }
}

std::size_t BenchFleet::ShardIndex(const ModelId& model) const {
  return StableHash(model.value()) % kShards;
}

placement::EndpointView BenchFleet::MakeEndpointView(
    const FakeEngine& engine) const {
  const endpoint::InventoryReport report = engine.Report();
  placement::EndpointView view{.m_id = engine.id(),
                               .m_failure_domain = engine.domain(),
                               .m_reachable = engine.alive(),
                               .m_checks_fencing = report.m_checks_fencing,
                               .m_memory_bytes = report.m_memory_bytes,
                               .m_running = report.m_running};
  for (const auto& cached : report.m_cached) {
    view.m_tiers[cached.m_artifact] = cached.m_tier;
  }
  return view;
}

void BenchFleet::Start() {
  for (std::size_t index = 0; index < kShards; ++index) {
    StartHolder(index);
    m_clock.RunAfter(kTickInterval, [this, index] { Tick(index); });
  }
  const FaultSpec& faults = m_spec.m_faults;
  if (faults.m_store_slowdown != 1) {
    m_clock.RunAfter(m_spec.m_duration / 3, [this] {
      m_store.SetSlowdown(m_spec.m_faults.m_store_slowdown);
    });
  }
  if (faults.m_domain_lost) {
    m_clock.RunAfter(m_spec.m_duration / 2, [this] { FailDomain(); });
  }
  if (faults.m_holder_restart_s > 0) {
    m_clock.RunAfter(FromSeconds(faults.m_holder_restart_s),
                     [this] { ReplaceHolder(0); });
  }
}

void BenchFleet::StartHolder(std::size_t index) {
  ShardHolder& holder = m_holders[index];
  holder.m_fence = ++m_last_fence;
  holder.m_shard = std::make_unique<Shard>(
      placement::ShardSettings{.m_scope = "placement/" + std::to_string(index)},
      m_policies.m_make_policies(), holder.m_fence);
  const FleetSpec& fleet = m_spec.m_fleet;
  const std::uint32_t adapter_load_limit =
      fleet.m_adapter_loads_in_flight / kShards +
      (index < fleet.m_adapter_loads_in_flight % kShards ? 1 : 0);
  constexpr std::uint32_t kUnlimited = 1'000'000;
  holder.m_shard->SetCatalog(
      holder.m_catalog,
      {{kService,
        {{fleet.m_store_loads_per_second, fleet.m_store_full_speed_loads},
         m_policies.m_limit_adapters ? adapter_load_limit : kUnlimited}}},
      m_clock.Now());
  for (const auto& engine : m_engines) {
    holder.m_shard->OnEndpoint(MakeEndpointView(*engine), m_clock.Now());
  }
  ExecuteEffects(index, holder.m_fence, holder.m_shard->Start());
}

void BenchFleet::ReplaceHolder(std::size_t index) {
  m_holders[index].m_shard.reset();
  m_holders[index].m_fence = 0;
  m_clock.RunAfter(kTakeoverDelay, [this, index] { StartHolder(index); });
  m_clock.RunAfter(FromSeconds(m_spec.m_faults.m_holder_restart_s),
                   [this, index] { ReplaceHolder((index + 1) % kShards); });
}

void BenchFleet::FailDomain() {
  for (const auto& engine : m_engines) {
    if (engine->domain() != FailureDomainId("domain-0")) {
      continue;
    }
    engine->Fail();
    m_clock.RunAfter(kLossDetectionDelay, [this, &engine] {
      for (auto& [artifact, engines] : m_ready_engines) {
        std::erase(engines, engine.get());
      }
      PublishEndpointView(*engine);
    });
    m_clock.RunAfter(kLossConfirmationDelay, [this, id = engine->id()] {
      for (std::size_t index = 0; index < kShards; ++index) {
        ScheduleEvent({}, index, m_holders[index].m_fence,
                      [this, id](Shard& shard) {
                        return shard.OnEndpointRemoved(id, m_clock.Now());
                      });
      }
    });
  }
}

void BenchFleet::PublishEndpointView(const FakeEngine& engine) {
  const placement::EndpointView view = MakeEndpointView(engine);
  for (std::size_t index = 0; index < kShards; ++index) {
    ScheduleEvent(kMessageDelay, index, m_holders[index].m_fence,
                  [this, view](Shard& shard) {
                    return shard.OnEndpoint(view, m_clock.Now());
                  });
  }
}

BenchFleet::Shard* BenchFleet::FindShard(std::size_t index,
                                         FencingNumber fence) {
  ShardHolder& holder = m_holders[index];
  return holder.m_fence == fence ? holder.m_shard.get() : nullptr;
}

void BenchFleet::ScheduleEvent(Duration delay,
                               std::size_t index,
                               FencingNumber fence,
                               std::function<Effects(Shard&)> event) {
  m_clock.RunAfter(delay, [this, index, fence, event = std::move(event)] {
    if (Shard* shard = FindShard(index, fence)) {
      ExecuteEffects(index, fence, event(*shard));
    }
  });
}

void BenchFleet::Tick(std::size_t index) {
  m_clock.RunAfter(kTickInterval, [this, index] { Tick(index); });
  const FencingNumber fence = m_holders[index].m_fence;
  if (Shard* shard = FindShard(index, fence)) {
    ExecuteEffects(index, fence, shard->OnTick(m_clock.Now()));
  }
}

void BenchFleet::SendDemand(const placement::Demand& demand) {
  const std::size_t index = ShardIndex(demand.m_model);
  const FencingNumber fence = m_holders[index].m_fence;
  Shard* shard = FindShard(index, fence);
  if (shard == nullptr) {
    // The shard has no claim holder; the entry repeats the demand.
    m_clock.RunAfter(milliseconds(100), [this, demand] { SendDemand(demand); });
    return;
  }
  ExecuteEffects(index, fence, shard->OnDemand(demand, m_clock.Now()));
}

FakeEngine* BenchFleet::Route(const Artifact& artifact) {
  const auto found = m_ready_engines.find(artifact);
  if (found == m_ready_engines.end()) {
    return nullptr;
  }
  std::erase_if(found->second, [&artifact](const FakeEngine* engine) {
    return engine->alive() && !engine->IsReady(artifact);
  });
  FakeEngine* best = nullptr;
  for (FakeEngine* engine : found->second) {
    if (engine->alive() &&
        (best == nullptr || engine->running() < best->running())) {
      best = engine;
    }
  }
  return best;
}

Duration BenchFleet::MinLoadTime(const Artifact& artifact) const {
  const placement::CatalogModel& model = m_trace.m_catalog.at(artifact.m_model);
  const Artifact base{.m_model = artifact.m_model, .m_version = "1"};
  Duration least = m_store.UncontendedLoadTime(model.m_bytes);
  for (const auto& engine : m_engines) {
    if (engine->alive()) {
      least = std::min(least, engine->UncontendedLoadTime(base, model.m_bytes));
    }
  }
  return least;
}

void BenchFleet::RecordIdleMemory() {
  double idle = 0;
  for (const auto& engine : m_engines) {
    idle += engine->IdleByteSeconds();
  }
  m_result.SetIdleMemory(idle, m_spec.m_fleet.m_engine_memory_gb * 1e9);
}

void BenchFleet::ExecuteEffects(std::size_t index,
                                FencingNumber fence,
                                const Effects& effects) {
  for (const placement::Effect& effect : effects) {
    std::visit([&](const auto& kind) { Execute(index, fence, kind); }, effect);
  }
}

placement::RecordReply BenchFleet::LookUpRecord(
    const placement::RecordName& record) const {
  const auto found = m_records.find(record);
  if (found == m_records.end()) {
    return {.m_record = record};
  }
  return {.m_record = record,
          .m_revision = found->second.m_revision,
          .m_value = found->second.m_value};
}

placement::RecordReply BenchFleet::ApplySwap(
    const placement::SwapRecord& swap) {
  m_result.CountWrite();
  placement::RecordReply current = LookUpRecord(swap.m_record);
  if (current.m_revision != swap.m_expected) {
    return current;
  }
  m_records[swap.m_record] = {swap.m_value, ++m_revision};
  return {
      .m_record = swap.m_record, .m_swapped = true, .m_revision = m_revision};
}

void BenchFleet::Execute(std::size_t index,
                         FencingNumber fence,
                         const placement::SwapRecord& effect) {
  ScheduleEvent(kRecordAccessTime, index, fence, [this, effect](Shard& shard) {
    return shard.OnRecord(ApplySwap(effect), m_clock.Now());
  });
}

void BenchFleet::Execute(std::size_t index,
                         FencingNumber fence,
                         const placement::ReadRecord& effect) {
  ScheduleEvent(kRecordAccessTime, index, fence, [this, effect](Shard& shard) {
    return shard.OnRecord(LookUpRecord(effect.m_record), m_clock.Now());
  });
}

void BenchFleet::Execute(std::size_t index,
                         FencingNumber fence,
                         const placement::ReadAllRecords& /*effect*/) {
  ScheduleEvent(kRecordAccessTime, index, fence, [this](Shard& shard) {
    std::vector<placement::RecordReply> records;
    for (const auto& [name, stored] : m_records) {
      records.push_back(LookUpRecord(name));
    }
    return shard.OnRecovered(records, m_clock.Now());
  });
}

void BenchFleet::Execute(std::size_t index,
                         FencingNumber fence,
                         const placement::SendOrder& effect) {
  m_clock.RunAfter(kMessageDelay, [this, index, fence, effect] {
    FakeEngine& engine = *m_engines_by_id.at(effect.m_endpoint);
    const std::uint64_t number = effect.m_order.m_number;
    if (!engine.alive()) {
      ScheduleEvent(
          seconds(2), index, fence, [this, effect, number](Shard& shard) {
            return shard.OnOrderReply(effect.m_endpoint, number,
                                      Error(ErrorCode::kTimedOut, "no answer"),
                                      m_clock.Now());
          });
      return;
    }
    const bool load = effect.m_order.m_kind == endpoint::OrderKind::kLoad;
    if (load) {
      m_result.CountLoad();
    }
    const endpoint::OrderReply reply = engine.ExecuteOrder(effect.m_order);
    if (engine.PeakBytes() > engine.Report().m_memory_bytes) {
      m_result.CountOvercommit();
    }
    if (!load) {
      PublishEndpointView(engine);
    }
    ScheduleEvent(kMessageDelay, index, fence,
                  [this, effect, number, reply](Shard& shard) {
                    return shard.OnOrderReply(effect.m_endpoint, number, reply,
                                              m_clock.Now());
                  });
  });
}

void BenchFleet::Execute(std::size_t index,
                         FencingNumber fence,
                         const placement::RaiseFence& effect) {
  ScheduleEvent(2 * kMessageDelay, index, fence, [this, effect](Shard& shard) {
    return shard.OnFenceRaised(effect.m_endpoint,
                               m_engines_by_id.at(effect.m_endpoint)->alive(),
                               m_clock.Now());
  });
}

void BenchFleet::Execute(std::size_t index,
                         FencingNumber fence,
                         const placement::FetchInventory& effect) {
  const MonotonicTime requested_at = m_clock.Now();
  const Duration lag = FromSeconds(m_spec.m_faults.m_report_lag_s);
  m_clock.RunAfter(
      kMessageDelay, [this, index, fence, effect, requested_at, lag] {
        const FakeEngine& engine = *m_engines_by_id.at(effect.m_endpoint);
        if (!engine.alive()) {
          return;
        }
        m_clock.RunAfter(
            kMessageDelay + lag, [this, index, fence, effect, requested_at,
                                  report = engine.Report()] {
              Shard* shard = FindShard(index, fence);
              if (shard == nullptr) {
                return;
              }
              ExecuteEffects(index, fence,
                             shard->OnInventory(effect.m_endpoint, report,
                                                requested_at, m_clock.Now()));
              PublishReady(index);
            });
      });
}

void BenchFleet::PublishReady(std::size_t index) {
  using placement::ReplicaStep;
  const Shard* shard = m_holders[index].m_shard.get();
  for (const placement::ReplicaKey& key :
       shard->replicas().KeysInStep(ReplicaStep::kReady)) {
    FakeEngine* engine = m_engines_by_id.at(key.m_endpoint);
    std::vector<FakeEngine*>& engines = m_ready_engines[key.m_artifact];
    if (!engine->alive() ||
        std::find(engines.begin(), engines.end(), engine) != engines.end()) {
      continue;
    }
    engines.push_back(engine);
    m_clock.RunAfter(kMessageDelay, [this, artifact = key.m_artifact] {
      m_listener.OnReady(artifact);
    });
    PublishEndpointView(*engine);
  }
}

void BenchFleet::Execute(std::size_t /*index*/,
                         FencingNumber /*fence*/,
                         const placement::AnswerDemand& effect) {
  m_clock.RunAfter(kMessageDelay, [this, answer = effect.m_answer] {
    m_listener.OnAnswer(answer);
  });
}

void BenchFleet::Execute(std::size_t index,
                         FencingNumber fence,
                         const placement::RequestReplicaRelease& effect) {
  const std::size_t other = ShardIndex(effect.m_replica.m_artifact.m_model);
  ScheduleEvent(
      kMessageDelay, other, m_holders[other].m_fence,
      [this, index, fence, effect](Shard& shard) {
        const placement::ReplicaKey replica = effect.m_replica;
        const bool released =
            shard.GrantsRelease(replica, effect.m_value, m_clock.Now());
        ScheduleEvent(kMessageDelay, index, fence,
                      [this, replica, released](Shard& requester) {
                        return requester.OnReleaseReply(replica, released,
                                                        m_clock.Now());
                      });
        return shard.OnReleaseRequested(replica, effect.m_value, m_clock.Now());
      });
}

}  // namespace hickoryloft::tools
