// A queue with weighted fair sharing of endpoints between client accounts.

#ifndef SOURCE_ROUTING_FAIR_QUEUE_H_
#define SOURCE_ROUTING_FAIR_QUEUE_H_

#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "routing/request_queue.h"

namespace hickoryloft::routing {

// Serves the account with the smallest virtual-token counter (tokens served
// divided by the account's weight), and within it the earliest deadline. The
// counter of an account that was idle is raised to the smallest counter among
// waiting accounts, so that no account accumulates credit while idle.
class FairQueue : public RequestQueue {
 public:
  void Push(QueuedRequest request) override;
  std::optional<QueuedRequest> Pop(const Dispatchable& dispatchable) override;
  bool Remove(std::uint64_t id) override;
  void Charge(const ClientAccountId& account,
              double weight,
              double tokens) override;
  std::size_t Ahead(const ClientAccountId& account,
                    double weight) const override;
  std::size_t size() const override { return m_requests.size(); }

  // Returns the virtual-token counter of `account`, or 0 if it has no entry.
  double Counter(const ClientAccountId& account) const;

 private:
  // With more accounts than this, entries of accounts without waiting requests
  // are dropped.
  static constexpr std::size_t kMaxIdleAccounts = 4096;

  using ByDeadline = std::set<std::pair<MonotonicTime, std::uint64_t>>;
  struct Account {
    double m_counter = 0;
    double m_weight = 1;
    std::size_t m_waiting = 0;
    std::map<std::string, ByDeadline> m_by_served_name;
  };

  static const std::pair<MonotonicTime, std::uint64_t>* Earliest(
      const Account& account,
      const Dispatchable& dispatchable);
  Account& Activate(const ClientAccountId& id, double weight);
  QueuedRequest Extract(std::uint64_t id);
  void DropIdleAccounts();

  std::unordered_map<ClientAccountId, Account> m_accounts;
  std::unordered_map<std::uint64_t, QueuedRequest> m_requests;
  // Accounts with waiting requests, ordered by counter.
  std::set<std::pair<double, ClientAccountId>> m_waiting;
  // Counter of the account served last. Minimum for an account that was idle,
  // when no other account waits.
  double m_last_counter = 0;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_FAIR_QUEUE_H_
