#include "host/endpoint_probe.h"

#include <utility>

namespace hickoryloft::host {

namespace {

// Delay within which all sockets of an endpoint that has ended are closed.
constexpr Duration kDelay = milliseconds(30);
// An endpoint that has ended refuses connections at once.
constexpr Duration kRefusalTime = milliseconds(250);

}  // namespace

std::shared_ptr<EndpointProbe::Check> EndpointProbe::Start(
    const endpoint::EndpointAddress& endpoint,
    std::function<void(bool gone)> done) {
  auto check = std::make_shared<Check>();
  check->m_done = std::move(done);
  check->m_timer =
      m_loop.After(kDelay, [this, weak = std::weak_ptr<Check>(check),
                            endpoint] { Ask(weak, endpoint); });
  return check;
}

void EndpointProbe::Ask(const std::weak_ptr<Check>& check,
                        const endpoint::EndpointAddress& endpoint) {
  m_engines.ReadReport(
      endpoint, [&loop = m_loop, check, asked_at = m_loop.Now()](
                    const Result<fleet::EngineReport>& report) {
        // The owner may drop the check while it is told.
        if (const auto running = check.lock()) {
          running->m_done(!report.ok() &&
                          report.error().code() == ErrorCode::kUnavailable &&
                          loop.Now() - asked_at < kRefusalTime);
        }
      });
}

}  // namespace hickoryloft::host
