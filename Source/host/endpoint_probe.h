// Finds out whether an endpoint whose connection has ended is gone.

#ifndef SOURCE_HOST_ENDPOINT_PROBE_H_
#define SOURCE_HOST_ENDPOINT_PROBE_H_

#include <functional>
#include <memory>

#include "base/event_loop.h"
#include "endpoint/orders.h"
#include "fleet/protocols.h"

namespace hickoryloft::host {

// What a probe found. kSilent can also be due to the network.
enum class ProbeResult { kAnswers, kSilent, kGone };

// Use on the loop's thread only. Must outlive its checks.
class EndpointProbe {
 public:
  // A running check. Destroying it cancels it.
  struct Check {
    std::function<void(ProbeResult)> m_done;
    std::unique_ptr<Timer> m_timer;
  };
  enum class Start {
    kAtOnce,   // Finds out whether the process that ended the connection lives.
    kSettled,  // Also finds processes that end a little later.
  };

  EndpointProbe(EventLoop& loop, fleet::EngineControl& engines)
      : m_loop(loop), m_engines(engines) {}

  // Asks `endpoint` for its report after its connection has ended, and calls
  // `done` once, later. It is gone if it refuses the connection, as the system
  // of a process that has ended does, or if another instance answers.
  [[nodiscard]] std::shared_ptr<Check> Ask(
      const endpoint::EndpointAddress& endpoint,
      Start start,
      std::function<void(ProbeResult)> done);

 private:
  void AskAfter(Duration delay,
                const std::weak_ptr<Check>& check,
                const endpoint::EndpointAddress& endpoint,
                bool last);
  void Handle(const Result<fleet::EngineReport>& report,
              const std::weak_ptr<Check>& check,
              const endpoint::EndpointAddress& endpoint,
              MonotonicTime asked_at,
              bool last);

  EventLoop& m_loop;
  fleet::EngineControl& m_engines;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_ENDPOINT_PROBE_H_
