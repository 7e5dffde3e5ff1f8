#include "entry/running_requests.h"

#include <vector>

namespace hickoryloft::entry {

void RunningRequests::Add(std::uint64_t id,
                          std::shared_ptr<RunningRequest> request) {
  m_requests.emplace(id, std::move(request));
}

void RunningRequests::Remove(std::uint64_t id) {
  m_requests.erase(id);
}

void RunningRequests::AbortWithdrawn(const DocumentSet& documents) {
  std::vector<std::shared_ptr<RunningRequest>> withdrawn;
  for (const auto& [id, request] : m_requests) {
    const Principal* principal = request->principal();
    if (principal != nullptr && !documents.StillValid(*principal)) {
      withdrawn.push_back(request);
    }
  }
  for (const auto& request : withdrawn) {
    request->AbortForWithdrawnKey();
  }
}

std::size_t RunningRequests::AbortAll() {
  std::vector<std::shared_ptr<RunningRequest>> aborted;
  aborted.reserve(m_requests.size());
  for (const auto& [id, request] : m_requests) {
    aborted.push_back(request);
  }
  for (const auto& request : aborted) {
    request->Abort();
  }
  return aborted.size();
}

}  // namespace hickoryloft::entry
