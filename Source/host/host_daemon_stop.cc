// The planned stop of a host.

#include "base/log.h"
#include "host/host_daemon.h"

namespace hickoryloft::host {

namespace {

// After SIGTERM, callers still connect until about two readiness checks have
// failed.
constexpr Duration kMinStopTime = milliseconds(2600);
// Times before the end of the grace period at which open requests are aborted,
// and at which the process ends.
constexpr Duration kAbortReserve = milliseconds(600);
constexpr Duration kExitReserve = milliseconds(200);

const Logger kLog("host");

}  // namespace

void HostDaemon::BeginStop() {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  m_stop_started_at = m_loop.Now();
  kLog.Info("stopping",
            {{"open", static_cast<std::uint64_t>(m_frontend.open())}});
  m_callers.BeginDrain();
  m_frontend.BeginStop(m_settings.m_bounds.m_stop_grace - kAbortReserve);
  m_placement_lease.End();
  m_stop_tick = m_loop.Every(milliseconds(50), [this] { ContinueStop(); });
}

void HostDaemon::ContinueStop() {
  const Duration passed = m_loop.Now() - m_stop_started_at;
  const Duration grace = m_settings.m_bounds.m_stop_grace;
  const bool aborting = passed > grace - kAbortReserve;
  if (passed < kMinStopTime && !aborting) {
    return;
  }
  m_callers.CloseIdle();
  // A connection stays open until its caller has read the last answer.
  const bool busy = m_frontend.open() > 0 || m_callers.connections() > 0;
  if (busy && !aborting) {
    return;
  }
  // Stop listening before the registration ends, which may take long: a new
  // connection is then refused before the caller has sent anything.
  m_callers.StopListening();
  if (!m_registration_ending) {
    m_registration_ending = true;
    m_registration.End([this] { m_registration_ended = true; });
  }
  if (aborting) {
    m_frontend.AbortAll();
    m_callers.RejectUnread();
  }
  if ((m_registration_ended && !busy) || passed > grace - kExitReserve) {
    m_stop_tick.reset();
    kLog.Info("stopped", {{"host", m_settings.m_host.value()}});
    m_loop.Stop();
  }
}

}  // namespace hickoryloft::host
