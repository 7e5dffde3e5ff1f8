// Transfers that share one resource: up to a limit each runs at full speed,
// beyond it all of them slow down in proportion.

#ifndef STANDINS_TRANSFER_LANE_H_
#define STANDINS_TRANSFER_LANE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "base/event_loop.h"
#include "base/time.h"

namespace hickoryloft::standins {

// Use on the loop's thread only.
class TransferLane {
 public:
  TransferLane(EventLoop& loop, std::size_t full_speed_limit)
      : m_loop(loop), m_full_speed_limit(full_speed_limit) {}

  // Starts a transfer that takes `full_speed_time` at full speed. Calls `done`
  // when it has ended.
  void Start(Duration full_speed_time, std::function<void()> done);
  // Makes every transfer take `factor` times as long from now on.
  void SetSlowdown(double factor);

  std::size_t active() const { return m_transfers.size(); }
  std::size_t most_active() const { return m_most_active; }

 private:
  struct Transfer {
    double m_seconds_left = 0;  // At full speed.
    std::function<void()> m_done;
  };

  double Speed() const;
  void Advance();
  void Schedule();
  void Finish();

  EventLoop& m_loop;
  std::size_t m_full_speed_limit;
  double m_slowdown = 1;
  std::uint64_t m_last_id = 0;
  std::map<std::uint64_t, Transfer> m_transfers;
  MonotonicTime m_advanced_at{};
  std::size_t m_most_active = 0;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_TRANSFER_LANE_H_
