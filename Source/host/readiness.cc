#include "host/readiness.h"

#include <chrono>

#include "base/log.h"

namespace hickoryloft::host {

namespace {

// Share of the bound on the view that it may reach in age before
// requests with a key are refused. The rest covers a silent watch and the
// transfer of the request to the endpoint.
constexpr double kUsableAgeShare = 0.75;
// Share of the same bound beyond which the host reports that it is not ready
// for new connections, because their requests would be refused soon.
constexpr double kReadyAgeShare = 0.55;
// Limit on the wait for a report of another host after the start. All others
// may be unreachable.
constexpr Duration kPeerWait = seconds(2);

const Logger kLog("host");

}  // namespace

Readiness::Readiness(EventLoop& loop,
                     const HostSettings& settings,
                     const fleet::FleetStateFeed& knowledge)
    : m_loop(loop),
      m_settings(settings),
      m_knowledge(knowledge),
      m_started_at(loop.Now()) {}

void Readiness::RecordPeerConfiguration(std::int64_t version) {
  const auto configuration = m_knowledge.configuration();
  m_peer_confirmed = m_peer_confirmed || (configuration && version > 0 &&
                                          version <= configuration->version());
}

bool Readiness::ConfigurationConfirmed() const {
  const bool confirmed = m_settings.m_first_start || m_peer_confirmed ||
                         m_loop.Now() - m_started_at > kPeerWait;
  return confirmed && !m_knowledge.LacksLostConfiguration();
}

bool Readiness::AgeBelow(double share) const {
  const auto bound = m_settings.m_bounds.ViewBound();
  return !bound || m_knowledge.Age() < duration_cast<Duration>(*bound * share);
}

bool Readiness::KeysCurrent() const {
  return (!m_settings.m_bounds.m_strict_withdrawal ||
          ConfigurationConfirmed()) &&
         AgeBelow(kUsableAgeShare);
}

bool Readiness::Ready(bool stopping) {
  const bool ready = !stopping && m_knowledge.complete() &&
                     ConfigurationConfirmed() && AgeBelow(kReadyAgeShare);
  if (ready != m_was_ready) {
    m_was_ready = ready;
    kLog.Info(
        ready ? "ready" : "not ready",
        {{"stopping", stopping ? 1 : 0},
         {"view_age_ms",
          m_knowledge.complete() ? ToMillis(m_knowledge.Age()).count() : -1}});
  }
  return ready;
}

}  // namespace hickoryloft::host
