// Estimates how long requests for one artifact take to be dispatched and
// answered.

#ifndef SOURCE_ROUTING_ANSWER_ESTIMATE_H_
#define SOURCE_ROUTING_ANSWER_ESTIMATE_H_

#include <optional>

#include "base/time.h"

namespace hickoryloft::routing {

// Exponential moving averages of recent measurements. Not thread-safe.
class AnswerEstimate {
 public:
  // Weight of a new measurement in the average.
  static constexpr double kGain = 0.1;

  // Records the time from the send of a call to its first byte.
  void RecordFirstAnswer(Duration value);
  // Records that a waiting request was dispatched. The interval to the next
  // dispatch is measured only if `others_wait`.
  void RecordDispatch(MonotonicTime now, bool others_wait);

  // Returns the expected time from the send of a call to its first byte, or
  // zero before the first measurement.
  Duration FirstAnswer() const { return m_first_answer.value_or(Duration{}); }
  // Returns the expected time between dispatches while requests wait, or
  // FirstAnswer() before the first measurement.
  Duration DispatchInterval() const {
    return m_interval.value_or(FirstAnswer());
  }

 private:
  static void UpdateAverage(std::optional<Duration>& average, Duration value);

  std::optional<Duration> m_first_answer;
  std::optional<Duration> m_interval;
  std::optional<MonotonicTime> m_last_dispatch;  // If other requests waited.
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_ANSWER_ESTIMATE_H_
