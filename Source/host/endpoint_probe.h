// Finds out whether an endpoint whose connection has ended is gone.

#ifndef SOURCE_HOST_ENDPOINT_PROBE_H_
#define SOURCE_HOST_ENDPOINT_PROBE_H_

#include <functional>
#include <memory>

#include "base/event_loop.h"
#include "endpoint/orders.h"
#include "fleet/protocols.h"

namespace hickoryloft::host {

// Use on the loop's thread only. Must outlive its checks.
class EndpointProbe {
 public:
  // A running check. Destroying it cancels it.
  struct Check {
    std::function<void(bool gone)> m_done;
    std::unique_ptr<Timer> m_timer;
  };

  EndpointProbe(EventLoop& loop, fleet::EngineControl& engines)
      : m_loop(loop), m_engines(engines) {}

  // Asks `endpoint` for its report, shortly after its connection has ended, and
  // calls `done` once. `gone`: it refused the connection, as the system of a
  // process that has ended does. No answer can also be due to the network, and
  // proves nothing.
  [[nodiscard]] std::shared_ptr<Check> Start(
      const endpoint::EndpointAddress& endpoint,
      std::function<void(bool gone)> done);

 private:
  void Ask(const std::weak_ptr<Check>& check,
           const endpoint::EndpointAddress& endpoint);

  EventLoop& m_loop;
  fleet::EngineControl& m_engines;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_ENDPOINT_PROBE_H_
