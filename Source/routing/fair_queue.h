// Shares endpoints between client accounts by counting the tokens served to
// each.

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
// counter of an account that returns from idle is lifted to the smallest one
// that waits, so that nobody saves up a share.
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

  // Returns the virtual-token counter of `account`, 0 if it is not known.
  double Counter(const ClientAccountId& account) const;

 private:
  // Accounts that never wait are forgotten beyond this number.
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
  QueuedRequest Take(std::uint64_t id);
  void ForgetIdleAccounts();

  std::unordered_map<ClientAccountId, Account> m_accounts;
  std::unordered_map<std::uint64_t, QueuedRequest> m_requests;
  // Waiting accounts by counter.
  std::set<std::pair<double, ClientAccountId>> m_waiting;
  // The counter of the account served last, for a return when nobody waits.
  double m_last_counter = 0;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_FAIR_QUEUE_H_
