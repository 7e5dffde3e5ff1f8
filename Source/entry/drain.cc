#include "entry/drain.h"

#include "base/log.h"

namespace hickoryloft::entry {

namespace {

const Logger kLog("drain");

}  // namespace

void Drain::Begin() {
  if (m_phase == DrainPhase::kServing) {
    kLog.Info("Planned stop began; reporting not ready.");
    m_phase = DrainPhase::kUnready;
    m_stop_started_at = m_loop.Now();
    m_balancer_lag_timer =
        m_loop.After(m_limits.m_balancer_lag, [this] { Refuse(); });
    return;
  }
  if (m_phase == DrainPhase::kUnready) {
    Refuse();
  }
  if (m_phase == DrainPhase::kRefusing) {
    AbortRequests("second signal");
  }
}

void Drain::Refuse() {
  if (m_phase != DrainPhase::kUnready) {
    return;
  }
  kLog.Info("Refusing new requests; waiting for running requests to end.");
  m_phase = DrainPhase::kRefusing;
  m_events.m_refuse_requests();
  m_poll_timer = m_loop.Every(kPollInterval, [this] { Poll(); });
}

void Drain::Poll() {
  const MonotonicTime now = m_loop.Now();
  if (m_phase == DrainPhase::kRefusing) {
    if (m_events.m_idle()) {
      ReturnTokens();
    } else if (now - m_stop_started_at > m_limits.m_limit) {
      AbortRequests("limit");
    }
    return;
  }
  const bool return_timed_out = now - m_return_started_at > kReturnTimeout;
  if (m_phase == DrainPhase::kReturning &&
      (!m_events.m_returning_tokens() || return_timed_out)) {
    m_phase = DrainPhase::kStopped;
    kLog.Info("Stopped.");
    m_events.m_stopped();
  }
}

void Drain::AbortRequests(const char* reason) {
  const std::size_t aborted = m_events.m_abort_requests();
  kLog.Warn("Ended running requests early; returning tokens.",
            {{"reason", reason}, {"requests", std::uint64_t{aborted}}});
  ReturnTokens();
}

void Drain::ReturnTokens() {
  m_phase = DrainPhase::kReturning;
  m_return_started_at = m_loop.Now();
  m_events.m_return_tokens();
}

}  // namespace hickoryloft::entry
