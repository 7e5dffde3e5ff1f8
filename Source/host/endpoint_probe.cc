#include "host/endpoint_probe.h"

#include <utility>

namespace hickoryloft::host {

namespace {

// Delay within which all sockets of an endpoint that has ended are closed.
constexpr Duration kDelay = milliseconds(30);
// An endpoint that has ended refuses connections at once.
constexpr Duration kRefusalTime = milliseconds(250);

}  // namespace

std::shared_ptr<EndpointProbe::Check> EndpointProbe::Ask(
    const endpoint::EndpointAddress& endpoint,
    Start start,
    std::function<void(ProbeResult)> done) {
  auto check = std::make_shared<Check>();
  check->m_done = std::move(done);
  const bool settled = start == Start::kSettled;
  AskAfter(settled ? kDelay : Duration{}, check, endpoint, settled);
  return check;
}

void EndpointProbe::AskAfter(Duration delay,
                             const std::weak_ptr<Check>& check,
                             const endpoint::EndpointAddress& endpoint,
                             bool last) {
  check.lock()->m_timer = m_loop.After(delay, [this, check, endpoint, last] {
    m_engines.ReadReport(endpoint,
                         [this, check, endpoint, asked_at = m_loop.Now(),
                          last](const Result<fleet::EngineReport>& report) {
                           Handle(report, check, endpoint, asked_at, last);
                         });
  });
}

void EndpointProbe::Handle(const Result<fleet::EngineReport>& report,
                           const std::weak_ptr<Check>& check,
                           const endpoint::EndpointAddress& endpoint,
                           MonotonicTime asked_at,
                           bool last) {
  // The owner may drop the check while it is told.
  const auto running = check.lock();
  if (!running) {
    return;
  }
  const bool answers =
      report.ok() || report.error().code() == ErrorCode::kProtocol;
  if (answers) {
    running->m_done(ProbeResult::kAnswers);
  } else if (report.error().code() == ErrorCode::kUnavailable &&
             m_loop.Now() - asked_at < kRefusalTime) {
    running->m_done(ProbeResult::kGone);
  } else if (report.error().code() == ErrorCode::kOutcomeUnknown && !last) {
    // A process that is ending may still have accepted the connection.
    AskAfter(kDelay, check, endpoint, true);
  } else {
    running->m_done(ProbeResult::kSilent);
  }
}

}  // namespace hickoryloft::host
