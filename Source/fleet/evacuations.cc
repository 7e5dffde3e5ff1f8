#include "fleet/evacuations.h"

namespace hickoryloft::fleet {

bool Evacuations::Begin(const FailureDomainId& domain,
                        std::optional<MonotonicTime> not_before) {
  const auto [request, is_new] =
      m_requests.try_emplace(domain, Request{.m_not_before = not_before});
  request->second.m_keep_until.reset();
  return is_new;
}

bool Evacuations::End(const FailureDomainId& domain) {
  return m_requests.erase(domain) > 0;
}

std::vector<FailureDomainId> Evacuations::RetainOnly(
    const std::set<FailureDomainId>& requested,
    std::optional<MonotonicTime> keep_until) {
  std::vector<FailureDomainId> ended;
  for (auto at = m_requests.begin(); at != m_requests.end();) {
    if (requested.contains(at->first)) {
      ++at;
    } else if (keep_until) {
      at->second.m_keep_until = keep_until;
      ++at;
    } else {
      ended.push_back(at->first);
      at = m_requests.erase(at);
    }
  }
  return ended;
}

std::vector<FailureDomainId> Evacuations::DropUnconfirmed(MonotonicTime now) {
  std::vector<FailureDomainId> ended;
  for (auto at = m_requests.begin(); at != m_requests.end();) {
    if (at->second.m_keep_until && *at->second.m_keep_until <= now) {
      ended.push_back(at->first);
      at = m_requests.erase(at);
    } else {
      ++at;
    }
  }
  return ended;
}

std::map<FailureDomainId, Evacuation> Evacuations::States(
    MonotonicTime now) const {
  const Duration emptying = duration_cast<Duration>(m_bound * kEmptyingShare);
  std::map<FailureDomainId, Evacuation> states;
  for (const auto& [domain, request] : m_requests) {
    const bool last_resort =
        request.m_not_before && now < *request.m_not_before + emptying;
    states[domain] =
        last_resort ? Evacuation::kEmptying : Evacuation::kEvacuated;
  }
  return states;
}

}  // namespace hickoryloft::fleet
