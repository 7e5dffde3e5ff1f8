// Simulated engine: memory, checkpoint caches, and load times by tier.

#ifndef SOURCE_TOOLS_POLICY_BENCH_FAKE_ENGINE_H_
#define SOURCE_TOOLS_POLICY_BENCH_FAKE_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "endpoint/orders.h"
#include "placement/types.h"
#include "tools/policy_bench/fake_store.h"

namespace hickoryloft::tools {

// Adapter loads in progress on all engines. They slow each other down when
// there are more than m_full_speed_loads.
struct AdapterLoads {
  std::uint32_t m_in_flight = 0;
  std::uint32_t m_full_speed_loads = 30;
};

// The checkpoints of one tier, evicted in the order of insertion. Not
// thread-safe.
class CheckpointCache {
 public:
  explicit CheckpointCache(double gb) : m_capacity(gb * 1e9) {}

  void Add(const placement::Artifact& artifact, std::uint64_t bytes);
  bool Has(const placement::Artifact& artifact) const;
  const std::deque<std::pair<placement::Artifact, std::uint64_t>>& items()
      const {
    return m_items;
  }

 private:
  double m_capacity;
  double m_used = 0;
  std::deque<std::pair<placement::Artifact, std::uint64_t>> m_items;
};

// Not thread-safe.
class FakeEngine {
 public:
  struct HeldArtifact {
    bool m_ready = false;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_peak_bytes = 0;
    std::uint64_t m_order_number = 0;
    std::uint32_t m_running = 0;  // Requests in progress.
    MonotonicTime m_idle_since{};
  };

  // The references must outlive this object.
  FakeEngine(VirtualClock& clock,
             const FleetSpec& fleet,
             FakeStore& store,
             AdapterLoads& adapter_loads,
             EndpointId id,
             FailureDomainId domain);

  const EndpointId& id() const { return m_id; }
  const FailureDomainId& domain() const { return m_domain; }
  bool alive() const { return m_alive; }

  // Marks the engine as failed and drops its artifacts. The caller must send it
  // no further orders.
  void Fail();

  endpoint::OrderReply ExecuteOrder(const endpoint::Order& order);
  endpoint::InventoryReport Report() const;

  bool IsReady(const placement::Artifact& artifact) const;
  std::uint32_t running() const { return m_running; }
  void BeginRequest(const placement::Artifact& artifact);
  void EndRequest(const placement::Artifact& artifact);

  // Adds a checkpoint to the disk cache. Use before the trace starts.
  void CacheOnDisk(const placement::Artifact& artifact, std::uint64_t bytes);
  placement::CheckpointTier TierOf(const placement::Artifact& artifact) const;
  // Returns the time of a load without contention.
  Duration UncontendedLoadTime(const placement::Artifact& artifact,
                               std::uint64_t bytes) const;

  std::uint64_t PeakBytes() const;
  // Returns the byte-seconds for which artifacts have been held without a
  // request in progress.
  double IdleByteSeconds() const;

 private:
  void StartLoad(const endpoint::Order& order);
  void FinishLoad(const placement::Artifact& artifact,
                  std::uint64_t order_number);
  double CurrentIdleByteSeconds(const HeldArtifact& item) const;
  void AccumulateIdleTime(HeldArtifact& item);

  VirtualClock& m_clock;
  const FleetSpec& m_fleet;
  FakeStore& m_store;
  AdapterLoads& m_adapter_loads;
  EndpointId m_id;
  FailureDomainId m_domain;
  bool m_alive = true;
  CheckpointCache m_disk;
  CheckpointCache m_host_memory;
  std::map<placement::Artifact, HeldArtifact> m_items;
  std::uint64_t m_last_order = 0;
  std::uint32_t m_running = 0;
  double m_idle_byte_seconds = 0;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_POLICY_BENCH_FAKE_ENGINE_H_
