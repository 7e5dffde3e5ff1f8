// Baseline: first come, first served.

#ifndef SOURCE_ROUTING_FIRST_COME_QUEUE_H_
#define SOURCE_ROUTING_FIRST_COME_QUEUE_H_

#include <list>

#include "routing/request_queue.h"

namespace hickoryloft::routing {

// Serves requests in the order of arrival, regardless of the account.
class FirstComeQueue : public RequestQueue {
 public:
  void Push(QueuedRequest request) override;
  std::optional<QueuedRequest> Pop(const Dispatchable& dispatchable) override;
  bool Remove(std::uint64_t id) override;
  void Charge(const ClientAccountId& /*account*/,
              double /*weight*/,
              double /*tokens*/) override {}
  std::size_t Ahead(const ClientAccountId& /*account*/,
                    double /*weight*/) const override {
    return m_requests.size();
  }
  std::size_t size() const override { return m_requests.size(); }

 private:
  std::list<QueuedRequest> m_requests;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_FIRST_COME_QUEUE_H_
