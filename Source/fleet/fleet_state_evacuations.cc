// FleetStateFeed: failure domains that operators ask to empty.

#include <algorithm>
#include <utility>

#include "base/history.h"
#include "base/log.h"
#include "fleet/fleet_state_feed.h"

namespace hickoryloft::fleet {

namespace {

const Logger kLog("knowledge");

}  // namespace

FailureDomainId FleetStateFeed::BeginEvacuation(
    const keyvalue::KeyValue& item,
    std::optional<MonotonicTime> not_before,
    const char* source) {
  FailureDomainId domain;
  try {
    domain = m_decoder.EvacuatedDomainOf(item.m_key);
  } catch (const Error& error) {
    kLog.Warn("request to empty a failure domain unreadable; ignored",
              {{"reason", error.what()},
               {"revision", DescribeRevision(item.m_mod_revision)}});
    return domain;
  }
  if (m_evacuations.Begin(domain, not_before)) {
    kLog.Info(
        "failure domain is to be emptied",
        {{"failure_domain", domain.value()},
         {"revision", DescribeRevision(item.m_mod_revision)},
         {"source", source},
         {"view_age_ms",
          not_before ? ToMillis(m_loop.Now() - *not_before).count() : -1}});
  }
  return domain;
}

void FleetStateFeed::EndEvacuation(const keyvalue::KeyValue& item,
                                   const char* source) {
  try {
    const FailureDomainId domain = m_decoder.EvacuatedDomainOf(item.m_key);
    if (m_evacuations.End(domain)) {
      TakeBack(domain, source);
    }
  } catch (const Error& error) {
    kLog.Warn("removed request to empty a failure domain unreadable; ignored",
              {{"reason", error.what()},
               {"revision", DescribeRevision(item.m_mod_revision)}});
  }
}

void FleetStateFeed::TakeBack(const FailureDomainId& domain,
                              const char* source) {
  for (const auto& [id, entry] : m_directory.entries()) {
    const ServiceSpec* service =
        m_configuration ? m_configuration->FindService(entry.m_service)
                        : nullptr;
    if (entry.m_failure_domain == domain && service != nullptr) {
      m_directory.MarkReturning(id, m_loop.Now() + service->m_cold_start);
    }
  }
  kLog.Info("failure domain taken back",
            {{"failure_domain", domain.value()},
             {"endpoints", EndpointsIn(domain)},
             {"source", source},
             {"view_age_ms", ToMillis(Age()).count()}});
}

std::uint64_t FleetStateFeed::EndpointsIn(const FailureDomainId& domain) const {
  const auto& entries = m_directory.entries();
  return static_cast<std::uint64_t>(
      std::count_if(entries.begin(), entries.end(), [&](const auto& listed) {
        return listed.second.m_failure_domain == domain;
      }));
}

void FleetStateFeed::UpdateEvacuations() {
  auto states = m_evacuations.States(m_loop.Now());
  if (states == m_evacuation_states) {
    return;
  }
  for (const auto& [domain, state] : states) {
    const auto known = m_evacuation_states.find(domain);
    if (state == Evacuation::kEvacuated &&
        (known == m_evacuation_states.end() || known->second != state)) {
      kLog.Info("failure domain evacuated; its endpoints get no more requests",
                {{"failure_domain", domain.value()},
                 {"endpoints", EndpointsIn(domain)}});
    }
  }
  m_evacuation_states = std::move(states);
  for (const EndpointId& id : m_directory.SetEvacuations(m_evacuation_states)) {
    m_events.m_endpoint_changed(id);
  }
}

}  // namespace hickoryloft::fleet
