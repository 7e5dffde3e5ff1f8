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

void RunningRequests::WithdrawKeys(const DocumentSet& documents) {
  std::vector<std::shared_ptr<RunningRequest>> ended;
  for (const auto& [id, request] : m_requests) {
    const Principal* principal = request->principal();
    if (principal != nullptr && !documents.StillValid(*principal)) {
      ended.push_back(request);
    }
  }
  for (const auto& request : ended) {
    request->WithdrawKey();
  }
}

std::size_t RunningRequests::CutAll() {
  std::vector<std::shared_ptr<RunningRequest>> cut;
  cut.reserve(m_requests.size());
  for (const auto& [id, request] : m_requests) {
    cut.push_back(request);
  }
  for (const auto& request : cut) {
    request->Cut();
  }
  return cut.size();
}

}  // namespace hickoryloft::entry
