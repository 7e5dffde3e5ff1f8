// Decides whether a request can be answered within the caller's patience.

#ifndef SOURCE_ROUTING_ADMISSION_POLICY_H_
#define SOURCE_ROUTING_ADMISSION_POLICY_H_

#include <cstddef>

#include "base/time.h"

namespace hickoryloft::routing {

struct AdmissionInput {
  Duration m_patience{};      // Time left until the caller times out.
  Duration m_ready_in{};      // Time until a replica is ready; zero if one is.
  std::size_t m_ahead = 0;    // Requests to be served before this one.
  Duration m_interval{};      // Expected time between dispatches.
  Duration m_first_answer{};  // Expected time from dispatch to first byte.
};

struct AdmissionDecision {
  bool m_admitted = false;
  Duration m_estimate{};     // Expected time until the first answer.
  Duration m_retry_after{};  // If not admitted: delay before a retry.
};

// An admission rule. Stateless, so thread-safe.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;

  virtual AdmissionDecision Decide(const AdmissionInput& input) const = 0;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_ADMISSION_POLICY_H_
