#include "tools/policy_bench/fake_store.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace hickoryloft::tools {
namespace {

constexpr double kBytesPerGb = 1e9;
constexpr double kCompletionToleranceBytes = 1;

}  // namespace

FakeStore::FakeStore(VirtualClock& clock, const FleetSpec& fleet)
    : m_clock(clock), m_fleet(fleet), m_advanced_at(clock.Now()) {}

Duration FakeStore::UncontendedLoadTime(std::uint64_t bytes) const {
  return FromSeconds(static_cast<double>(bytes) * m_slowdown /
                     (m_fleet.m_store_gb_per_second * kBytesPerGb));
}

void FakeStore::Read(std::uint64_t bytes, std::function<void()> done) {
  const MonotonicTime start = std::max(m_clock.Now(), m_next_start);
  m_next_start = start + FromSeconds(1.0 / m_fleet.m_store_loads_per_second);
  m_clock.RunAt(start, [this, bytes, done = std::move(done)]() mutable {
    StartLoad(bytes, std::move(done));
  });
}

void FakeStore::StartLoad(std::uint64_t bytes, std::function<void()> done) {
  AdvanceLoads();
  m_loads[++m_last_id] = {static_cast<double>(bytes), std::move(done)};
  ScheduleCompletion();
}

void FakeStore::SetSlowdown(double factor) {
  AdvanceLoads();
  m_slowdown = factor;
  ScheduleCompletion();
}

double FakeStore::BytesPerSecond() const {
  const double in_progress = static_cast<double>(m_loads.size());
  const double share =
      std::min(1.0, m_fleet.m_store_full_speed_loads / in_progress);
  return m_fleet.m_store_gb_per_second * kBytesPerGb * share / m_slowdown;
}

void FakeStore::AdvanceLoads() {
  const double elapsed = ToSeconds(m_clock.Now() - m_advanced_at);
  m_advanced_at = m_clock.Now();
  if (m_loads.empty()) {
    return;
  }
  const double read = elapsed * BytesPerSecond();
  for (auto& [id, load] : m_loads) {
    load.m_bytes_left -= read;
  }
}

void FakeStore::ScheduleCompletion() {
  const std::uint64_t version = ++m_schedule_version;
  if (m_loads.empty()) {
    return;
  }
  double min_bytes_left = std::numeric_limits<double>::max();
  for (const auto& [id, load] : m_loads) {
    min_bytes_left = std::min(min_bytes_left, load.m_bytes_left);
  }
  const Duration wait =
      FromSeconds(std::max(min_bytes_left, 0.0) / BytesPerSecond()) +
      milliseconds(1);
  m_clock.RunAfter(wait, [this, version] {
    if (version != m_schedule_version) {
      return;
    }
    AdvanceLoads();
    std::vector<std::function<void()>> done;
    std::erase_if(m_loads, [&done](auto& item) {
      if (item.second.m_bytes_left > kCompletionToleranceBytes) {
        return false;
      }
      done.push_back(std::move(item.second.m_done));
      return true;
    });
    ScheduleCompletion();
    for (const auto& callback : done) {
      callback();
    }
  });
}

}  // namespace hickoryloft::tools
