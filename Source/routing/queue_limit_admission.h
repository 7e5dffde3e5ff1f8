// Baseline: a fixed limit on the queue length.

#ifndef SOURCE_ROUTING_QUEUE_LIMIT_ADMISSION_H_
#define SOURCE_ROUTING_QUEUE_LIMIT_ADMISSION_H_

#include "routing/admission_policy.h"

namespace hickoryloft::routing {

// Admits while fewer than `limit` requests are ahead, regardless of the
// patience.
class QueueLimitAdmission : public AdmissionPolicy {
 public:
  static constexpr Duration kRetryAfter = seconds(1);

  explicit QueueLimitAdmission(std::size_t limit) : m_limit(limit) {}

  AdmissionDecision Decide(const AdmissionInput& input) const override;

 private:
  std::size_t m_limit;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_QUEUE_LIMIT_ADMISSION_H_
