// Learns how long requests for one artifact take to be dispatched and answered.

#ifndef SOURCE_ROUTING_ANSWER_ESTIMATE_H_
#define SOURCE_ROUTING_ANSWER_ESTIMATE_H_

#include <optional>

#include "base/time.h"

namespace hickoryloft::routing {

// Moving averages of what was seen lately. Not thread-safe.
class AnswerEstimate {
 public:
  // Weight of a new value.
  static constexpr double kGain = 0.1;

  // Records the time from the send of a call to its first byte.
  void RecordFirstAnswer(Duration value);
  // Records that a waiting request was dispatched.
  void RecordDispatch(MonotonicTime now, bool others_wait);

  // Returns the expected time from the send of a call to its first byte; zero
  // while none was seen.
  Duration FirstAnswer() const { return m_first_answer.value_or(Duration{}); }
  // Returns the expected time between dispatches while requests wait; before
  // any was seen, the expected first answer.
  Duration DispatchInterval() const {
    return m_interval.value_or(FirstAnswer());
  }

 private:
  static void Blend(std::optional<Duration>& average, Duration value);

  std::optional<Duration> m_first_answer;
  std::optional<Duration> m_interval;
  std::optional<MonotonicTime> m_last_dispatch;  // While others waited.
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_ANSWER_ESTIMATE_H_
