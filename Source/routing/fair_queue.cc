#include "routing/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace hickoryloft::routing {

FairQueue::Account& FairQueue::Activate(const ClientAccountId& id,
                                        double weight) {
  if (m_accounts.size() > kMaxIdleAccounts) {
    DropIdleAccounts();
  }
  Account& account = m_accounts[id];
  account.m_weight = weight;
  if (account.m_waiting == 0) {
    const double floor =
        m_waiting.empty() ? m_last_counter : m_waiting.begin()->first;
    account.m_counter = std::max(account.m_counter, floor);
  }
  return account;
}

void FairQueue::Push(QueuedRequest request) {
  Account& account = Activate(request.m_account, request.m_weight);
  if (account.m_waiting == 0) {
    m_waiting.emplace(account.m_counter, request.m_account);
  }
  ++account.m_waiting;
  account.m_by_served_name[request.m_served_name].emplace(request.m_deadline,
                                                          request.m_id);
  const std::uint64_t id = request.m_id;
  m_requests.emplace(id, std::move(request));
}

const std::pair<MonotonicTime, std::uint64_t>* FairQueue::Earliest(
    const Account& account,
    const Dispatchable& dispatchable) {
  const std::pair<MonotonicTime, std::uint64_t>* earliest = nullptr;
  for (const auto& [served_name, requests] : account.m_by_served_name) {
    const auto& first = *requests.begin();
    const bool earlier = earliest == nullptr || first < *earliest;
    if (earlier && dispatchable(served_name)) {
      earliest = &first;
    }
  }
  return earliest;
}

std::optional<QueuedRequest> FairQueue::Pop(const Dispatchable& dispatchable) {
  for (const auto& [counter, id] : m_waiting) {
    const auto* earliest = Earliest(m_accounts.at(id), dispatchable);
    if (earliest == nullptr) {
      continue;
    }
    m_last_counter = counter;
    QueuedRequest request = Extract(earliest->second);
    Charge(request.m_account, request.m_weight,
           static_cast<double>(request.m_tokens));
    return request;
  }
  return std::nullopt;
}

bool FairQueue::Remove(std::uint64_t id) {
  if (!m_requests.contains(id)) {
    return false;
  }
  Extract(id);
  return true;
}

QueuedRequest FairQueue::Extract(std::uint64_t id) {
  auto node = m_requests.extract(id);
  QueuedRequest request = std::move(node.mapped());
  Account& account = m_accounts.at(request.m_account);
  const auto found = account.m_by_served_name.find(request.m_served_name);
  found->second.erase({request.m_deadline, id});
  if (found->second.empty()) {
    account.m_by_served_name.erase(found);
  }
  if (--account.m_waiting == 0) {
    m_waiting.erase({account.m_counter, request.m_account});
  }
  return request;
}

void FairQueue::Charge(const ClientAccountId& id,
                       double weight,
                       double tokens) {
  Account& account = tokens > 0 ? Activate(id, weight) : m_accounts[id];
  const double before = account.m_counter;
  account.m_counter = std::max(0.0, before + tokens / weight);
  if (account.m_waiting > 0) {
    m_waiting.erase({before, id});
    m_waiting.emplace(account.m_counter, id);
  }
}

std::size_t FairQueue::Ahead(const ClientAccountId& id, double weight) const {
  const auto found = m_accounts.find(id);
  const std::size_t own =
      found == m_accounts.end() ? 0 : found->second.m_waiting;
  // While `own` requests of the account and the new one are served, every other
  // account is served in proportion to its weight, up to the number of its
  // waiting requests.
  double ahead = static_cast<double>(own);
  for (const auto& [counter, other] : m_waiting) {
    if (other == id) {
      continue;
    }
    const Account& account = m_accounts.at(other);
    const double share =
        static_cast<double>(own + 1) * account.m_weight / weight;
    ahead += std::min(share, static_cast<double>(account.m_waiting));
  }
  return static_cast<std::size_t>(std::ceil(ahead));
}

double FairQueue::Counter(const ClientAccountId& account) const {
  const auto found = m_accounts.find(account);
  return found == m_accounts.end() ? 0 : found->second.m_counter;
}

void FairQueue::DropIdleAccounts() {
  std::erase_if(m_accounts, [this](const auto& item) {
    return item.second.m_waiting == 0 &&
           item.second.m_counter <= m_last_counter;
  });
}

}  // namespace hickoryloft::routing
