// The planned stop of an entry.

#ifndef SOURCE_ENTRY_DRAIN_H_
#define SOURCE_ENTRY_DRAIN_H_

#include <functional>
#include <memory>

#include "base/event_loop.h"
#include "entry/entry_settings.h"

namespace hickoryloft::entry {

enum class DrainPhase {
  kServing,
  kUnready,    // Reports not ready; new requests are still answered.
  kRefusing,   // New requests are refused; running ones finish.
  kReturning,  // Unspent rate tokens are being returned.
  kStopped,
};

// Runs the phases of a planned stop. Use on the loop's thread only.
class Drain {
 public:
  struct Events {
    // Called once, when new requests start to be refused.
    std::function<void()> m_refuse_requests;
    // Returns whether no request is running.
    std::function<bool()> m_idle;
    // Ends all running requests and returns their number.
    std::function<std::size_t()> m_abort_requests;
    std::function<void()> m_return_tokens;
    // Returns whether tokens are still being returned.
    std::function<bool()> m_returning_tokens;
    std::function<void()> m_stopped;
  };

  static constexpr Duration kPollInterval = milliseconds(20);
  // Longest wait until all tokens are returned.
  static constexpr Duration kReturnTimeout = seconds(1);

  Drain(EventLoop& loop, const DrainLimits& limits, Events events)
      : m_loop(loop), m_limits(limits), m_events(std::move(events)) {}

  // Begins a planned stop. A second call ends all running requests at once.
  void Begin();

  DrainPhase phase() const { return m_phase; }

 private:
  void Refuse();
  void Poll();
  void AbortRequests(const char* reason);
  void ReturnTokens();

  EventLoop& m_loop;
  DrainLimits m_limits;
  Events m_events;
  DrainPhase m_phase = DrainPhase::kServing;
  MonotonicTime m_stop_started_at{};
  MonotonicTime m_return_started_at{};
  std::unique_ptr<Timer> m_balancer_lag_timer;
  std::unique_ptr<Timer> m_poll_timer;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_DRAIN_H_
