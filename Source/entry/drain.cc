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
    m_began = m_loop.Now();
    m_lag = m_loop.After(m_limits.m_balancer_lag, [this] { Refuse(); });
    return;
  }
  if (m_phase == DrainPhase::kUnready) {
    Refuse();
  }
  if (m_phase == DrainPhase::kRefusing) {
    CutRest("second signal");
  }
}

void Drain::Refuse() {
  if (m_phase != DrainPhase::kUnready) {
    return;
  }
  kLog.Info("Refusing new requests; waiting for running requests to end.");
  m_phase = DrainPhase::kRefusing;
  m_events.m_refuse();
  m_poll = m_loop.Every(kPollInterval, [this] { Poll(); });
}

void Drain::Poll() {
  const MonotonicTime now = m_loop.Now();
  if (m_phase == DrainPhase::kRefusing) {
    if (m_events.m_idle()) {
      ReturnTokens();
    } else if (now - m_began > m_limits.m_limit) {
      CutRest("limit");
    }
    return;
  }
  const bool waited_enough = now - m_return_began > kReturnLimit;
  if (m_phase == DrainPhase::kReturning &&
      (!m_events.m_returning() || waited_enough)) {
    m_phase = DrainPhase::kStopped;
    kLog.Info("Planned stop finished.");
    m_events.m_stopped();
  }
}

void Drain::CutRest(const char* reason) {
  const std::size_t cut = m_events.m_cut();
  kLog.Warn("Ended running requests early; returning tokens.",
            {{"reason", reason}, {"requests", std::uint64_t{cut}}});
  ReturnTokens();
}

void Drain::ReturnTokens() {
  m_phase = DrainPhase::kReturning;
  m_return_began = m_loop.Now();
  m_events.m_return_tokens();
}

}  // namespace hickoryloft::entry
