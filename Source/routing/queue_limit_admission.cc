#include "routing/queue_limit_admission.h"

namespace hickoryloft::routing {

AdmissionDecision QueueLimitAdmission::Decide(
    const AdmissionInput& input) const {
  if (input.m_ahead < m_limit) {
    return {.m_admitted = true};
  }
  return {.m_admitted = false, .m_retry_after = kRetryAfter};
}

}  // namespace hickoryloft::routing
