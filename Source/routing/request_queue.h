// Interface of queues for requests that wait for an endpoint.

#ifndef SOURCE_ROUTING_REQUEST_QUEUE_H_
#define SOURCE_ROUTING_REQUEST_QUEUE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::routing {

struct QueuedRequest {
  std::uint64_t m_id = 0;  // Unique in the queue.
  ClientAccountId m_account;
  double m_weight = 1;         // Of the account; positive.
  std::uint64_t m_tokens = 0;  // Prompt plus reserved output tokens.
  MonotonicTime m_deadline{};
  std::string m_served_name;  // Artifact that the request waits for.
};

// Determines the order in which waiting requests are served. Not thread-safe.
class RequestQueue {
 public:
  // Returns whether an endpoint can accept a request for a served name now.
  using Dispatchable = std::function<bool(const std::string& served_name)>;

  virtual ~RequestQueue() = default;

  virtual void Push(QueuedRequest request) = 0;
  // Removes and returns the request to serve next among those that are
  // dispatchable, and charges its tokens to its account.
  virtual std::optional<QueuedRequest> Pop(
      const Dispatchable& dispatchable) = 0;
  // Removes a request, for example a cancelled one. Returns false if it is not
  // in the queue.
  virtual bool Remove(std::uint64_t id) = 0;

  // Charges `tokens` to `account` for a request that did not go through the
  // queue. A negative number corrects an earlier charge that was too large.
  virtual void Charge(const ClientAccountId& account,
                      double weight,
                      double tokens) = 0;

  // Returns how many waiting requests would be served before a new request of
  // `account`.
  virtual std::size_t Ahead(const ClientAccountId& account,
                            double weight) const = 0;
  virtual std::size_t size() const = 0;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_REQUEST_QUEUE_H_
