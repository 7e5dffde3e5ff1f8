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
  kUnready,    // Readiness is off; new requests are still answered.
  kRefusing,   // New requests are refused; running ones finish.
  kReturning,  // Unspent tokens go back.
  kStopped,
};

// Takes an entry from serving to stopped. Use on the loop's thread only.
class Drain {
 public:
  struct Events {
    std::function<void()> m_refuse;      // Close callers' connections after
                                         // their answers.
    std::function<bool()> m_idle;        // No request runs.
    std::function<std::size_t()> m_cut;  // Ends running requests; their
                                         // number.
    std::function<void()> m_return_tokens;
    std::function<bool()> m_returning;  // Tokens are still on their way.
    std::function<void()> m_stopped;
  };

  static constexpr Duration kPollInterval = milliseconds(20);
  // Time for tokens to go back and for the last bytes to leave.
  static constexpr Duration kReturnLimit = seconds(1);

  Drain(EventLoop& loop, const DrainLimits& limits, Events events)
      : m_loop(loop), m_limits(limits), m_events(std::move(events)) {}

  // A stop is asked for. The second call ends it sooner.
  void Begin();

  DrainPhase phase() const { return m_phase; }

 private:
  void Refuse();
  void Poll();
  void CutRest(const char* reason);
  void ReturnTokens();

  EventLoop& m_loop;
  DrainLimits m_limits;
  Events m_events;
  DrainPhase m_phase = DrainPhase::kServing;
  MonotonicTime m_began{};
  MonotonicTime m_return_began{};
  std::unique_ptr<Timer> m_lag;
  std::unique_ptr<Timer> m_poll;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_DRAIN_H_
