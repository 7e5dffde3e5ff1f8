// Event loop in virtual time.

#ifndef SOURCE_TOOLS_POLICY_BENCH_VIRTUAL_CLOCK_H_
#define SOURCE_TOOLS_POLICY_BENCH_VIRTUAL_CLOCK_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/time.h"

namespace hickoryloft::tools {

// Runs callbacks at virtual times; equal times keep the order of scheduling.
// Not thread-safe.
class VirtualClock {
 public:
  MonotonicTime Now() const { return m_now; }

  void RunAt(MonotonicTime when, std::function<void()> callback) {
    m_events.push(
        {when < m_now ? m_now : when, ++m_sequence, std::move(callback)});
  }
  void RunAfter(Duration delay, std::function<void()> callback) {
    RunAt(m_now + delay, std::move(callback));
  }

  // Runs all events up to and including `end`.
  void RunUntil(MonotonicTime end) {
    while (!m_events.empty() && m_events.top().m_when <= end) {
      // top() returns a const reference; moving is safe because the event is
      // popped next.
      Event event = std::move(const_cast<Event&>(m_events.top()));
      m_events.pop();
      m_now = event.m_when;
      event.m_callback();
    }
    m_now = end;
  }

 private:
  struct Event {
    MonotonicTime m_when{};
    std::uint64_t m_sequence = 0;
    std::function<void()> m_callback;

    bool operator<(const Event& other) const {
      return std::pair(m_when, m_sequence) >
             std::pair(other.m_when, other.m_sequence);
    }
  };

  // Starts well after zero so that times stay positive when a duration is
  // subtracted.
  MonotonicTime m_now{std::chrono::hours(1)};
  std::uint64_t m_sequence = 0;
  std::priority_queue<Event> m_events;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_POLICY_BENCH_VIRTUAL_CLOCK_H_
