// Admits requests that are expected to be answered within the caller's
// patience.

#ifndef SOURCE_ROUTING_ESTIMATE_ADMISSION_H_
#define SOURCE_ROUTING_ESTIMATE_ADMISSION_H_

#include "routing/admission_policy.h"

namespace hickoryloft::routing {

// Compares the expected time until the first answer with the patience. The
// retry delay of a refusal is the time after which the same request would be
// admitted if no other requests arrived.
class EstimateAdmission : public AdmissionPolicy {
 public:
  AdmissionDecision Decide(const AdmissionInput& input) const override;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_ESTIMATE_ADMISSION_H_
