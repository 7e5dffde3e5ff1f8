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
constexpr Duration kRecordTime = milliseconds(3);   // Key-value service.
constexpr Duration kMessageTime = milliseconds(1);  // One way, host to host.
constexpr Duration kTakeoverTime = seconds(3);
constexpr Duration kLossNoticed = milliseconds(1500);
constexpr Duration kLossConfirmed = seconds(12);
constexpr double kInitialDiskShare = 0.3;
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
    m_holders[IndexOf(id)].m_catalog[id] = model;
  }
}

void BenchFleet::MakeEngines(std::uint64_t seed) {
  RandomEngine random(seed);
  std::uniform_real_distribution<double> draw(0, 1);
  for (std::uint32_t index = 0; index < m_spec.m_fleet.m_engines; ++index) {
    const std::uint32_t domain = index % m_spec.m_fleet.m_failure_domains;
    m_engines.push_back(std::make_unique<FakeEngine>(
        m_clock, m_spec.m_fleet, m_store, m_adapter_loads,
        EndpointId("engine-" + std::to_string(index)),
        FailureDomainId("domain-" + std::to_string(domain))));
    m_by_id[m_engines.back()->id()] = m_engines.back().get();
    for (const auto& [id, model] : m_trace.m_catalog) {
      // Uneven: engines with a higher index have more checkpoints on disk.
      const double share = 2 * kInitialDiskShare * index /
                           std::max(m_spec.m_fleet.m_engines - 1, 1U);
      if (draw(random) < share) {
        m_engines.back()->CacheOnDisk({.m_model = id, .m_version = "1"},
                                      model.m_bytes);
      }
    }
  }
}

std::size_t BenchFleet::IndexOf(const ModelId& model) const {
  return StableHash(model.value()) % kShards;
}

placement::EndpointView BenchFleet::ViewOf(const FakeEngine& engine) const {
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
    m_clock.After(kTickInterval, [this, index] { Tick(index); });
  }
  const FaultSpec& faults = m_spec.m_faults;
  if (faults.m_store_slowdown != 1) {
    m_clock.After(m_spec.m_duration / 3, [this] {
      m_store.SetSlowdown(m_spec.m_faults.m_store_slowdown);
    });
  }
  if (faults.m_domain_lost) {
    m_clock.After(m_spec.m_duration / 2, [this] { LoseDomain(); });
  }
  if (faults.m_holder_restart_s > 0) {
    m_clock.After(FromSeconds(faults.m_holder_restart_s),
                  [this] { RestartNext(0); });
  }
}

void BenchFleet::StartHolder(std::size_t index) {
  Holder& holder = m_holders[index];
  holder.m_fence = ++m_last_fence;
  holder.m_shard = std::make_unique<Shard>(
      placement::ShardSettings{.m_scope = "placement/" + std::to_string(index)},
      m_policies.m_make(), holder.m_fence);
  const FleetSpec& fleet = m_spec.m_fleet;
  const std::uint32_t part =
      fleet.m_adapter_loads_in_flight / kShards +
      (index < fleet.m_adapter_loads_in_flight % kShards ? 1 : 0);
  constexpr std::uint32_t kUnlimited = 1'000'000;
  holder.m_shard->SetCatalog(
      holder.m_catalog,
      {{kService,
        {{fleet.m_store_loads_per_second, fleet.m_store_full_speed_loads},
         m_policies.m_limit_adapters ? part : kUnlimited}}},
      m_clock.Now());
  for (const auto& engine : m_engines) {
    holder.m_shard->OnEndpoint(ViewOf(*engine), m_clock.Now());
  }
  CarryOut(index, holder.m_fence, holder.m_shard->Start());
}

void BenchFleet::RestartNext(std::size_t index) {
  m_holders[index].m_shard.reset();
  m_holders[index].m_fence = 0;
  m_clock.After(kTakeoverTime, [this, index] { StartHolder(index); });
  m_clock.After(FromSeconds(m_spec.m_faults.m_holder_restart_s),
                [this, index] { RestartNext((index + 1) % kShards); });
}

void BenchFleet::LoseDomain() {
  for (const auto& engine : m_engines) {
    if (engine->domain() != FailureDomainId("domain-0")) {
      continue;
    }
    engine->Die();
    m_clock.After(kLossNoticed, [this, &engine] {
      for (auto& [artifact, engines] : m_ready) {
        std::erase(engines, engine.get());
      }
      TellOfEngine(*engine);
    });
    m_clock.After(kLossConfirmed, [this, id = engine->id()] {
      for (std::size_t index = 0; index < kShards; ++index) {
        Later({}, index, m_holders[index].m_fence, [this, id](Shard& shard) {
          return shard.OnEndpointRemoved(id, m_clock.Now());
        });
      }
    });
  }
}

void BenchFleet::TellOfEngine(const FakeEngine& engine) {
  const placement::EndpointView view = ViewOf(engine);
  for (std::size_t index = 0; index < kShards; ++index) {
    Later(kMessageTime, index, m_holders[index].m_fence,
          [this, view](Shard& shard) {
            return shard.OnEndpoint(view, m_clock.Now());
          });
  }
}

BenchFleet::Shard* BenchFleet::Find(std::size_t index, FencingNumber fence) {
  Holder& holder = m_holders[index];
  return holder.m_fence == fence ? holder.m_shard.get() : nullptr;
}

void BenchFleet::Later(Duration delay,
                       std::size_t index,
                       FencingNumber fence,
                       std::function<Effects(Shard&)> event) {
  m_clock.After(delay, [this, index, fence, event = std::move(event)] {
    if (Shard* shard = Find(index, fence)) {
      CarryOut(index, fence, event(*shard));
    }
  });
}

void BenchFleet::Tick(std::size_t index) {
  m_clock.After(kTickInterval, [this, index] { Tick(index); });
  const FencingNumber fence = m_holders[index].m_fence;
  if (Shard* shard = Find(index, fence)) {
    CarryOut(index, fence, shard->OnTick(m_clock.Now()));
  }
}

void BenchFleet::Ask(const placement::Demand& demand) {
  const std::size_t index = IndexOf(demand.m_model);
  const FencingNumber fence = m_holders[index].m_fence;
  Shard* shard = Find(index, fence);
  if (shard == nullptr) {
    // The shard has no claim holder; the entry repeats the demand.
    m_clock.After(milliseconds(100), [this, demand] { Ask(demand); });
    return;
  }
  CarryOut(index, fence, shard->OnDemand(demand, m_clock.Now()));
}

FakeEngine* BenchFleet::Route(const Artifact& artifact) {
  const auto found = m_ready.find(artifact);
  if (found == m_ready.end()) {
    return nullptr;
  }
  std::erase_if(found->second, [&artifact](const FakeEngine* engine) {
    return engine->alive() && !engine->Ready(artifact);
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

Duration BenchFleet::LoadBound(const Artifact& artifact) const {
  const placement::CatalogModel& model = m_trace.m_catalog.at(artifact.m_model);
  const Artifact base{.m_model = artifact.m_model, .m_version = "1"};
  Duration least = m_store.AloneTime(model.m_bytes);
  for (const auto& engine : m_engines) {
    if (engine->alive()) {
      least = std::min(least, engine->AloneTime(base, model.m_bytes));
    }
  }
  return least;
}

void BenchFleet::Finish() {
  double idle = 0;
  for (const auto& engine : m_engines) {
    idle += engine->IdleByteSeconds();
  }
  m_result.SetIdle(idle, m_spec.m_fleet.m_engine_memory_gb * 1e9);
}

void BenchFleet::CarryOut(std::size_t index,
                          FencingNumber fence,
                          const Effects& effects) {
  for (const placement::Effect& effect : effects) {
    std::visit([&](const auto& kind) { Do(index, fence, kind); }, effect);
  }
}

placement::RecordReply BenchFleet::ReadNow(
    const placement::RecordName& record) const {
  const auto found = m_records.find(record);
  if (found == m_records.end()) {
    return {.m_record = record};
  }
  return {.m_record = record,
          .m_revision = found->second.m_revision,
          .m_value = found->second.m_value};
}

placement::RecordReply BenchFleet::SwapNow(const placement::SwapRecord& swap) {
  m_result.CountWrite();
  placement::RecordReply current = ReadNow(swap.m_record);
  if (current.m_revision != swap.m_expected) {
    return current;
  }
  m_records[swap.m_record] = {swap.m_value, ++m_revision};
  return {
      .m_record = swap.m_record, .m_swapped = true, .m_revision = m_revision};
}

void BenchFleet::Do(std::size_t index,
                    FencingNumber fence,
                    const placement::SwapRecord& effect) {
  Later(kRecordTime, index, fence, [this, effect](Shard& shard) {
    return shard.OnRecord(SwapNow(effect), m_clock.Now());
  });
}

void BenchFleet::Do(std::size_t index,
                    FencingNumber fence,
                    const placement::ReadRecord& effect) {
  Later(kRecordTime, index, fence, [this, effect](Shard& shard) {
    return shard.OnRecord(ReadNow(effect.m_record), m_clock.Now());
  });
}

void BenchFleet::Do(std::size_t index,
                    FencingNumber fence,
                    const placement::ReadAllRecords& /*effect*/) {
  Later(kRecordTime, index, fence, [this](Shard& shard) {
    std::vector<placement::RecordReply> records;
    for (const auto& [name, stored] : m_records) {
      records.push_back(ReadNow(name));
    }
    return shard.OnRecovered(records, m_clock.Now());
  });
}

void BenchFleet::Do(std::size_t index,
                    FencingNumber fence,
                    const placement::SendOrder& effect) {
  m_clock.After(kMessageTime, [this, index, fence, effect] {
    FakeEngine& engine = *m_by_id.at(effect.m_endpoint);
    const std::uint64_t number = effect.m_order.m_number;
    if (!engine.alive()) {
      Later(seconds(2), index, fence, [this, effect, number](Shard& shard) {
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
    const endpoint::OrderReply reply = engine.Take(effect.m_order);
    if (engine.PeakBytes() > engine.Report().m_memory_bytes) {
      m_result.CountOvercommit();
    }
    if (!load) {
      TellOfEngine(engine);
    }
    Later(kMessageTime, index, fence,
          [this, effect, number, reply](Shard& shard) {
            return shard.OnOrderReply(effect.m_endpoint, number, reply,
                                      m_clock.Now());
          });
  });
}

void BenchFleet::Do(std::size_t index,
                    FencingNumber fence,
                    const placement::RaiseFence& effect) {
  Later(2 * kMessageTime, index, fence, [this, effect](Shard& shard) {
    return shard.OnFenceRaised(effect.m_endpoint,
                               m_by_id.at(effect.m_endpoint)->alive(),
                               m_clock.Now());
  });
}

void BenchFleet::Do(std::size_t index,
                    FencingNumber fence,
                    const placement::FetchInventory& effect) {
  const MonotonicTime requested_at = m_clock.Now();
  const Duration lag = FromSeconds(m_spec.m_faults.m_report_lag_s);
  m_clock.After(kMessageTime, [this, index, fence, effect, requested_at, lag] {
    const FakeEngine& engine = *m_by_id.at(effect.m_endpoint);
    if (!engine.alive()) {
      return;
    }
    m_clock.After(kMessageTime + lag, [this, index, fence, effect, requested_at,
                                       report = engine.Report()] {
      Shard* shard = Find(index, fence);
      if (shard == nullptr) {
        return;
      }
      CarryOut(index, fence,
               shard->OnInventory(effect.m_endpoint, report, requested_at,
                                  m_clock.Now()));
      PublishReady(index);
    });
  });
}

void BenchFleet::PublishReady(std::size_t index) {
  using placement::ReplicaStep;
  const Shard* shard = m_holders[index].m_shard.get();
  for (const placement::ReplicaKey& key :
       shard->replicas().KeysInStep(ReplicaStep::kReady)) {
    FakeEngine* engine = m_by_id.at(key.m_endpoint);
    std::vector<FakeEngine*>& engines = m_ready[key.m_artifact];
    if (!engine->alive() ||
        std::find(engines.begin(), engines.end(), engine) != engines.end()) {
      continue;
    }
    engines.push_back(engine);
    m_clock.After(kMessageTime, [this, artifact = key.m_artifact] {
      m_listener.OnReady(artifact);
    });
    TellOfEngine(*engine);
  }
}

void BenchFleet::Do(std::size_t /*index*/,
                    FencingNumber /*fence*/,
                    const placement::AnswerDemand& effect) {
  m_clock.After(kMessageTime, [this, answer = effect.m_answer] {
    m_listener.OnAnswer(answer);
  });
}

void BenchFleet::Do(std::size_t index,
                    FencingNumber fence,
                    const placement::RequestReplicaRelease& effect) {
  const std::size_t other = IndexOf(effect.m_replica.m_artifact.m_model);
  Later(kMessageTime, other, m_holders[other].m_fence,
        [this, index, fence, effect](Shard& shard) {
          const placement::ReplicaKey replica = effect.m_replica;
          const bool released =
              shard.GrantsRelease(replica, effect.m_value, m_clock.Now());
          Later(kMessageTime, index, fence,
                [this, replica, released](Shard& asker) {
                  return asker.OnReleaseReply(replica, released, m_clock.Now());
                });
          return shard.OnReleaseRequested(replica, effect.m_value,
                                          m_clock.Now());
        });
}

}  // namespace hickoryloft::tools
