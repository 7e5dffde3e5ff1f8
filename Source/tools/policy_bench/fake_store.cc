#include "tools/policy_bench/fake_store.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace hickoryloft::tools {
namespace {

constexpr double kBytesPerGb = 1e9;
constexpr double kDoneBytes = 1;

}  // namespace

FakeStore::FakeStore(VirtualClock& clock, const FleetSpec& fleet)
    : m_clock(clock), m_fleet(fleet), m_progressed_at(clock.Now()) {}

Duration FakeStore::AloneTime(std::uint64_t bytes) const {
  return FromSeconds(static_cast<double>(bytes) * m_slowdown /
                     (m_fleet.m_store_gb_per_second * kBytesPerGb));
}

void FakeStore::Read(std::uint64_t bytes, std::function<void()> done) {
  const MonotonicTime start = std::max(m_clock.Now(), m_next_start);
  m_next_start = start + FromSeconds(1.0 / m_fleet.m_store_loads_per_second);
  m_clock.At(start, [this, bytes, done = std::move(done)]() mutable {
    Begin(bytes, std::move(done));
  });
}

void FakeStore::Begin(std::uint64_t bytes, std::function<void()> done) {
  Progress();
  m_loads[++m_last_id] = {static_cast<double>(bytes), std::move(done)};
  ScheduleNext();
}

void FakeStore::SetSlowdown(double factor) {
  Progress();
  m_slowdown = factor;
  ScheduleNext();
}

double FakeStore::BytesPerSecond() const {
  const double open = static_cast<double>(m_loads.size());
  const double share = std::min(1.0, m_fleet.m_store_full_speed_loads / open);
  return m_fleet.m_store_gb_per_second * kBytesPerGb * share / m_slowdown;
}

void FakeStore::Progress() {
  const double elapsed = ToSeconds(m_clock.Now() - m_progressed_at);
  m_progressed_at = m_clock.Now();
  if (m_loads.empty()) {
    return;
  }
  const double read = elapsed * BytesPerSecond();
  for (auto& [id, load] : m_loads) {
    load.m_bytes_left -= read;
  }
}

void FakeStore::ScheduleNext() {
  const std::uint64_t schedule = ++m_schedule;
  if (m_loads.empty()) {
    return;
  }
  double least = std::numeric_limits<double>::max();
  for (const auto& [id, load] : m_loads) {
    least = std::min(least, load.m_bytes_left);
  }
  const Duration wait =
      FromSeconds(std::max(least, 0.0) / BytesPerSecond()) + milliseconds(1);
  m_clock.After(wait, [this, schedule] {
    if (schedule != m_schedule) {
      return;
    }
    Progress();
    std::vector<std::function<void()>> done;
    std::erase_if(m_loads, [&done](auto& item) {
      if (item.second.m_bytes_left > kDoneBytes) {
        return false;
      }
      done.push_back(std::move(item.second.m_done));
      return true;
    });
    ScheduleNext();
    for (const auto& callback : done) {
      callback();
    }
  });
}

}  // namespace hickoryloft::tools
