// Baseline: round robin over client accounts.

#ifndef SOURCE_ROUTING_ROUND_ROBIN_ACCOUNT_QUEUE_H_
#define SOURCE_ROUTING_ROUND_ROBIN_ACCOUNT_QUEUE_H_

#include <list>
#include <map>

#include "routing/request_queue.h"

namespace hickoryloft::routing {

// Serves one request of each account in turn, regardless of the request's size
// and the account's weight.
class RoundRobinAccountQueue : public RequestQueue {
 public:
  void Push(QueuedRequest request) override;
  std::optional<QueuedRequest> Pop(const Dispatchable& dispatchable) override;
  bool Remove(std::uint64_t id) override;
  void Charge(const ClientAccountId& /*account*/,
              double /*weight*/,
              double /*tokens*/) override {}
  std::size_t Ahead(const ClientAccountId& account,
                    double weight) const override;
  std::size_t size() const override { return m_size; }

 private:
  using Requests = std::list<QueuedRequest>;

  std::map<ClientAccountId, Requests> m_accounts;
  ClientAccountId m_last;
  std::size_t m_size = 0;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_ROUND_ROBIN_ACCOUNT_QUEUE_H_
