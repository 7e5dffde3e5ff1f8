#include "routing/estimate_admission.h"

namespace hickoryloft::routing {

AdmissionDecision EstimateAdmission::Decide(const AdmissionInput& input) const {
  const Duration queued =
      input.m_interval * static_cast<Duration::rep>(input.m_ahead);
  AdmissionDecision decision;
  decision.m_estimate = input.m_ready_in + queued + input.m_first_answer;
  decision.m_admitted = decision.m_estimate <= input.m_patience;
  if (!decision.m_admitted) {
    decision.m_retry_after = decision.m_estimate - input.m_patience;
  }
  return decision;
}

}  // namespace hickoryloft::routing
