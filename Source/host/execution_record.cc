#include "host/execution_record.h"

#include <utility>

namespace hickoryloft::host {

void ExecutionRecord::EndSend(SendEnd end) {
  const auto endpoint = std::exchange(m_current, std::nullopt);
  if (endpoint && end == SendEnd::kMayHaveRun) {
    m_may_have_run_at.insert(*endpoint);
  }
}

}  // namespace hickoryloft::host
