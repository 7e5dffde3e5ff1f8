#include "tools/policy_bench/fake_engine.h"

#include <algorithm>
#include <utility>

namespace hickoryloft::tools {
namespace {

using placement::Artifact;
using placement::CheckpointTier;

constexpr double kBytesPerGb = 1e9;
constexpr double kAdapterLoadSeconds = 0.0075;

}  // namespace

void CheckpointCache::Add(const Artifact& artifact, std::uint64_t bytes) {
  if (Has(artifact)) {
    return;
  }
  m_items.emplace_back(artifact, bytes);
  m_used += static_cast<double>(bytes);
  while (m_used > m_capacity && !m_items.empty()) {
    m_used -= static_cast<double>(m_items.front().second);
    m_items.pop_front();
  }
}

bool CheckpointCache::Has(const Artifact& artifact) const {
  return std::any_of(
      m_items.begin(), m_items.end(),
      [&artifact](const auto& item) { return item.first == artifact; });
}

FakeEngine::FakeEngine(VirtualClock& clock,
                       const FleetSpec& fleet,
                       FakeStore& store,
                       AdapterLoads& adapter_loads,
                       EndpointId id,
                       FailureDomainId domain)
    : m_clock(clock),
      m_fleet(fleet),
      m_store(store),
      m_adapter_loads(adapter_loads),
      m_id(std::move(id)),
      m_domain(std::move(domain)),
      m_disk(fleet.m_disk_cache_gb),
      m_host_memory(fleet.m_memory_cache_gb) {}

void FakeEngine::Fail() {
  for (auto& [artifact, item] : m_items) {
    AccumulateIdleTime(item);
  }
  m_alive = false;
  m_items.clear();
}

endpoint::OrderReply FakeEngine::ExecuteOrder(const endpoint::Order& order) {
  m_last_order = std::max(m_last_order, order.m_number);
  const auto found = m_items.find(order.m_artifact);
  if (order.m_kind == endpoint::OrderKind::kLoad) {
    StartLoad(order);
    return {.m_outcome = endpoint::OrderOutcome::kAccepted};
  }
  if (found != m_items.end()) {
    AccumulateIdleTime(found->second);
    if (order.m_artifact.m_adapter.empty()) {
      m_host_memory.Add(order.m_artifact, found->second.m_bytes);
    }
    m_items.erase(found);
  }
  return {.m_outcome = endpoint::OrderOutcome::kAccepted};
}

void FakeEngine::StartLoad(const endpoint::Order& order) {
  const Artifact artifact = order.m_artifact;
  m_items[artifact] = {.m_bytes = order.m_bytes,
                       .m_peak_bytes = order.m_peak_bytes,
                       .m_order_number = order.m_number,
                       .m_idle_since = m_clock.Now()};
  const auto finish = [this, artifact, number = order.m_number] {
    FinishLoad(artifact, number);
  };
  if (!artifact.m_adapter.empty()) {
    const double in_progress = ++m_adapter_loads.m_in_flight;
    const double factor =
        std::max(1.0, in_progress / m_adapter_loads.m_full_speed_loads);
    m_clock.RunAfter(FromSeconds(kAdapterLoadSeconds * factor), [this, finish] {
      --m_adapter_loads.m_in_flight;
      finish();
    });
    return;
  }
  if (TierOf(artifact) == CheckpointTier::kRemote) {
    m_store.Read(order.m_bytes, finish);
    return;
  }
  m_clock.RunAfter(UncontendedLoadTime(artifact, order.m_bytes), finish);
}

void FakeEngine::FinishLoad(const Artifact& artifact,
                            std::uint64_t order_number) {
  const auto found = m_items.find(artifact);
  if (found == m_items.end() || found->second.m_order_number != order_number) {
    return;
  }
  found->second.m_ready = true;
  if (artifact.m_adapter.empty()) {
    m_disk.Add(artifact, found->second.m_bytes);
  }
}

endpoint::InventoryReport FakeEngine::Report() const {
  endpoint::InventoryReport report{
      .m_checks_fencing = true,
      .m_memory_bytes =
          static_cast<std::uint64_t>(m_fleet.m_engine_memory_gb * kBytesPerGb),
      .m_running = m_running,
      .m_last_order_number = m_last_order};
  for (const auto& [artifact, item] : m_items) {
    report.m_items.push_back(
        {.m_artifact = artifact,
         .m_phase = item.m_ready ? endpoint::ArtifactPhase::kReady
                                 : endpoint::ArtifactPhase::kLoading,
         .m_bytes = item.m_bytes,
         .m_order_number = item.m_order_number});
  }
  for (const auto& [artifact, bytes] : m_disk.items()) {
    report.m_cached.push_back({artifact, CheckpointTier::kDisk});
  }
  for (const auto& [artifact, bytes] : m_host_memory.items()) {
    report.m_cached.push_back({artifact, CheckpointTier::kMemory});
  }
  return report;
}

bool FakeEngine::IsReady(const Artifact& artifact) const {
  const auto found = m_items.find(artifact);
  return found != m_items.end() && found->second.m_ready;
}

void FakeEngine::BeginRequest(const Artifact& artifact) {
  ++m_running;
  for (const Artifact& used :
       {artifact, Artifact{.m_model = artifact.m_model, .m_version = "1"}}) {
    const auto found = m_items.find(used);
    if (found != m_items.end()) {
      AccumulateIdleTime(found->second);
      ++found->second.m_running;
    }
    if (artifact.m_adapter.empty()) {
      return;
    }
  }
}

void FakeEngine::EndRequest(const Artifact& artifact) {
  --m_running;
  for (const Artifact& used :
       {artifact, Artifact{.m_model = artifact.m_model, .m_version = "1"}}) {
    const auto found = m_items.find(used);
    if (found != m_items.end() && found->second.m_running > 0) {
      --found->second.m_running;
      found->second.m_idle_since = m_clock.Now();
    }
    if (artifact.m_adapter.empty()) {
      return;
    }
  }
}

void FakeEngine::CacheOnDisk(const Artifact& artifact, std::uint64_t bytes) {
  m_disk.Add(artifact, bytes);
}

CheckpointTier FakeEngine::TierOf(const Artifact& artifact) const {
  if (m_host_memory.Has(artifact)) {
    return CheckpointTier::kMemory;
  }
  return m_disk.Has(artifact) ? CheckpointTier::kDisk : CheckpointTier::kRemote;
}

Duration FakeEngine::UncontendedLoadTime(const Artifact& artifact,
                                         std::uint64_t bytes) const {
  const double gb = static_cast<double>(bytes) / kBytesPerGb;
  switch (TierOf(artifact)) {
    case CheckpointTier::kMemory:
      return FromSeconds(gb / m_fleet.m_memory_gb_per_second);
    case CheckpointTier::kDisk:
      return FromSeconds(gb / m_fleet.m_disk_gb_per_second);
    case CheckpointTier::kRemote:
      break;
  }
  return m_store.UncontendedLoadTime(bytes);
}

std::uint64_t FakeEngine::PeakBytes() const {
  std::uint64_t bytes = 0;
  for (const auto& [artifact, item] : m_items) {
    bytes += item.m_ready ? item.m_bytes : item.m_peak_bytes;
  }
  return bytes;
}

double FakeEngine::CurrentIdleByteSeconds(const HeldArtifact& item) const {
  return item.m_running > 0 ? 0
                            : static_cast<double>(item.m_bytes) *
                                  ToSeconds(m_clock.Now() - item.m_idle_since);
}

void FakeEngine::AccumulateIdleTime(HeldArtifact& item) {
  m_idle_byte_seconds += CurrentIdleByteSeconds(item);
  item.m_idle_since = m_clock.Now();
}

double FakeEngine::IdleByteSeconds() const {
  double total = m_idle_byte_seconds;
  for (const auto& [artifact, item] : m_items) {
    total += CurrentIdleByteSeconds(item);
  }
  return total;
}

}  // namespace hickoryloft::tools
