#include "routing/round_robin_account_queue.h"

#include <algorithm>

namespace hickoryloft::routing {

void RoundRobinAccountQueue::Push(QueuedRequest request) {
  Requests& requests = m_accounts[request.m_account];
  requests.push_back(std::move(request));
  ++m_size;
}

std::optional<QueuedRequest> RoundRobinAccountQueue::Pop(
    const Dispatchable& dispatchable) {
  auto account = m_accounts.upper_bound(m_last);
  for (std::size_t i = 0; i < m_accounts.size(); ++i, ++account) {
    if (account == m_accounts.end()) {
      account = m_accounts.begin();
    }
    Requests& requests = account->second;
    const auto found = std::find_if(
        requests.begin(), requests.end(), [&](const QueuedRequest& request) {
          return dispatchable(request.m_served_name);
        });
    if (found == requests.end()) {
      continue;
    }
    QueuedRequest request = std::move(*found);
    m_last = account->first;
    requests.erase(found);
    if (requests.empty()) {
      m_accounts.erase(account);
    }
    --m_size;
    return request;
  }
  return std::nullopt;
}

bool RoundRobinAccountQueue::Remove(std::uint64_t id) {
  for (auto account = m_accounts.begin(); account != m_accounts.end();
       ++account) {
    const auto removed = std::erase_if(
        account->second,
        [id](const QueuedRequest& request) { return request.m_id == id; });
    if (removed > 0) {
      m_size -= removed;
      if (account->second.empty()) {
        m_accounts.erase(account);
      }
      return true;
    }
  }
  return false;
}

std::size_t RoundRobinAccountQueue::Ahead(const ClientAccountId& account,
                                          double /*weight*/) const {
  const auto found = m_accounts.find(account);
  const std::size_t own = found == m_accounts.end() ? 0 : found->second.size();
  std::size_t ahead = own;
  for (const auto& [other, requests] : m_accounts) {
    if (other != account) {
      ahead += std::min(own + 1, requests.size());
    }
  }
  return ahead;
}

}  // namespace hickoryloft::routing
