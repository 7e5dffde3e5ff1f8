// Simulated weight store. Limits the number of loads started per second, and
// divides its bandwidth when too many loads are in progress.

#ifndef SOURCE_TOOLS_POLICY_BENCH_FAKE_STORE_H_
#define SOURCE_TOOLS_POLICY_BENCH_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>

#include "tools/policy_bench/trace_spec.h"
#include "tools/policy_bench/virtual_clock.h"

namespace hickoryloft::tools {

// Not thread-safe.
class FakeStore {
 public:
  // The references must outlive this object.
  FakeStore(VirtualClock& clock, const FleetSpec& fleet);

  // Queues a load of `bytes`. Calls `done` when it is complete.
  void Read(std::uint64_t bytes, std::function<void()> done);
  // Sets the factor by which all loads are slowed, including those in progress.
  void SetSlowdown(double factor);
  // Returns the time of a load without contention.
  Duration UncontendedLoadTime(std::uint64_t bytes) const;

 private:
  struct Load {
    double m_bytes_left = 0;
    std::function<void()> m_done;
  };

  void StartLoad(std::uint64_t bytes, std::function<void()> done);
  double BytesPerSecond() const;
  void AdvanceLoads();
  void ScheduleCompletion();

  VirtualClock& m_clock;
  const FleetSpec& m_fleet;
  double m_slowdown = 1;
  std::map<std::uint64_t, Load> m_loads;
  std::uint64_t m_last_id = 0;
  std::uint64_t m_schedule_version = 0;  // Changes to cancel earlier wake-ups.
  MonotonicTime m_advanced_at{};
  MonotonicTime m_next_start{};
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_POLICY_BENCH_FAKE_STORE_H_
