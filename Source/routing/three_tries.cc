#include "routing/three_tries.h"

namespace hickoryloft::routing {

bool ThreeTries::TryRetry(const RetryInput& input) {
  const bool harmless = input.m_idempotent && !input.m_answer_started;
  return harmless && input.m_attempts < kMaxCalls;
}

}  // namespace hickoryloft::routing
