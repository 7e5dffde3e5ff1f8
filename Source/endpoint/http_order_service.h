// Sends orders to model engines as JSON over HTTP.

#ifndef SOURCE_ENDPOINT_HTTP_ORDER_SERVICE_H_
#define SOURCE_ENDPOINT_HTTP_ORDER_SERVICE_H_

#include <string>

#include "base/event_loop.h"
#include "endpoint/http_client.h"
#include "endpoint/orders.h"

namespace hickoryloft::endpoint {

// Calls POST /orders, POST /fences and GET /inventory. Never retries a call.
// Use on the loop's thread only; `loop` and `client` must outlive it and its
// calls.
class HttpOrderService : public OrderService {
 public:
  // Time within which an engine must have answered an order or an inventory
  // request completely.
  static constexpr Duration kAnswerTimeout = seconds(2);

  HttpOrderService(EventLoop& loop, HttpClient& client)
      : m_loop(loop), m_client(client) {}

  void Send(const EndpointAddress& endpoint,
            const Order& order,
            std::function<void(Result<OrderReply>)> callback) override;
  void RaiseFence(const EndpointAddress& endpoint,
                  const std::string& scope,
                  FencingNumber fencing_number,
                  std::function<void(Result<Done>)> callback) override;
  void FetchInventory(
      const EndpointAddress& endpoint,
      std::function<void(Result<InventoryReport>)> callback) override;

 private:
  EventLoop& m_loop;
  HttpClient& m_client;
};

// Returns `order` as the JSON text of POST /orders. Thread-safe.
std::string FormatOrder(const Order& order);

// Parses `text`, the JSON body of GET /inventory. Thread-safe. Throws
// Error(kProtocol) if `text` is not JSON, or if a member is missing or has the
// wrong type.
InventoryReport ParseInventory(const std::string& text);

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_HTTP_ORDER_SERVICE_H_
