// Orders to model engines by JSON over HTTP.

#ifndef SOURCE_ENDPOINT_HTTP_ORDER_SERVICE_H_
#define SOURCE_ENDPOINT_HTTP_ORDER_SERVICE_H_

#include <string>

#include "base/event_loop.h"
#include "endpoint/http_client.h"
#include "endpoint/orders.h"

namespace hickoryloft::endpoint {

// Calls POST /orders, POST /fences and GET /inventory. Never repeats a call.
// Use on the loop's thread only; `loop` and `client` must outlive it and its
// calls.
class HttpOrderService : public OrderService {
 public:
  // Time for an engine's whole answer to an order or a report.
  static constexpr Duration kAnswerLimit = seconds(2);

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

// Returns the report in `text`, the JSON of GET /inventory. Thread-safe. Throws
// Error(kProtocol) if a member is missing or of another type.
InventoryReport ParseInventory(const std::string& text);

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_HTTP_ORDER_SERVICE_H_
