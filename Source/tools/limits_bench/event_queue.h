// Event queue in virtual time.

#ifndef SOURCE_TOOLS_LIMITS_BENCH_EVENT_QUEUE_H_
#define SOURCE_TOOLS_LIMITS_BENCH_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/time.h"

namespace hickoryloft::tools {

// Runs callbacks at virtual times; equal times keep the order of scheduling.
// Not thread-safe.
class EventQueue {
 public:
  void RunAt(MonotonicTime time, std::function<void()> callback) {
    m_events.emplace(std::pair(time, m_next_sequence++), std::move(callback));
  }
  void RunAfter(Duration delay, std::function<void()> callback) {
    RunAt(m_now + delay, std::move(callback));
  }

  // Runs all callbacks up to and including `end`.
  void RunUntil(MonotonicTime end) {
    while (!m_events.empty() && m_events.begin()->first.first <= end) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key().first;
      event.mapped()();
    }
    m_now = end;
  }

  MonotonicTime now() const { return m_now; }

 private:
  MonotonicTime m_now{};
  std::uint64_t m_next_sequence = 0;
  std::map<std::pair<MonotonicTime, std::uint64_t>, std::function<void()>>
      m_events;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_LIMITS_BENCH_EVENT_QUEUE_H_
