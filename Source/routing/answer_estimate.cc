#include "routing/answer_estimate.h"

namespace hickoryloft::routing {

void AnswerEstimate::UpdateAverage(std::optional<Duration>& average,
                                   Duration value) {
  if (!average) {
    average = value;
    return;
  }
  average =
      FromSeconds((1 - kGain) * ToSeconds(*average) + kGain * ToSeconds(value));
}

void AnswerEstimate::RecordFirstAnswer(Duration value) {
  UpdateAverage(m_first_answer, value);
}

void AnswerEstimate::RecordDispatch(MonotonicTime now, bool others_wait) {
  if (m_last_dispatch) {
    UpdateAverage(m_interval, now - *m_last_dispatch);
  }
  m_last_dispatch = others_wait ? std::optional(now) : std::nullopt;
}

}  // namespace hickoryloft::routing
