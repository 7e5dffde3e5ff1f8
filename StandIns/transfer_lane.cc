#include "StandIns/transfer_lane.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hickoryloft::standins {

void TransferLane::Start(Duration full_speed_time, std::function<void()> done) {
  Advance();
  m_transfers[++m_last_id] = {.m_seconds_left = ToSeconds(full_speed_time),
                              .m_done = std::move(done)};
  m_most_active = std::max(m_most_active, m_transfers.size());
  Schedule();
}

void TransferLane::SetSlowdown(double factor) {
  Advance();
  m_slowdown = factor;
  Schedule();
}

double TransferLane::Speed() const {
  const double load_factor =
      std::max(1.0, static_cast<double>(m_transfers.size()) /
                        static_cast<double>(m_full_speed_limit));
  return 1 / (load_factor * m_slowdown);
}

void TransferLane::Advance() {
  const MonotonicTime now = m_loop.Now();
  const double progress = ToSeconds(now - m_advanced_at) * Speed();
  for (auto& [id, transfer] : m_transfers) {
    transfer.m_seconds_left -= progress;
  }
  m_advanced_at = now;
}

void TransferLane::Schedule() {
  m_timer.reset();
  if (m_transfers.empty()) {
    return;
  }
  const auto next = std::min_element(m_transfers.begin(), m_transfers.end(),
                                     [](const auto& left, const auto& right) {
                                       return left.second.m_seconds_left <
                                              right.second.m_seconds_left;
                                     });
  const double wait = std::max(0.0, next->second.m_seconds_left) / Speed();
  m_timer = m_loop.After(FromSeconds(wait), [this] { Finish(); });
}

void TransferLane::Finish() {
  constexpr double kRoundingSeconds = 1e-6;
  Advance();
  std::vector<std::function<void()>> finished;
  std::erase_if(m_transfers, [&](auto& entry) {
    if (entry.second.m_seconds_left > kRoundingSeconds) {
      return false;
    }
    finished.push_back(std::move(entry.second.m_done));
    return true;
  });
  Schedule();
  for (const auto& done : finished) {
    done();
  }
}

}  // namespace hickoryloft::standins
