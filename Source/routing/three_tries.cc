#include "routing/three_tries.h"

namespace hickoryloft::routing {

bool ThreeTries::TryRetry(const RetryInput& input) {
  const bool safe_to_retry = input.m_idempotent && !input.m_answer_started;
  return safe_to_retry && input.m_attempts < kMaxCalls;
}

}  // namespace hickoryloft::routing
