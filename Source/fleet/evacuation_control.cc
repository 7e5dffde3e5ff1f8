#include "fleet/evacuation_control.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/error.h"
#include "base/history.h"
#include "base/log.h"

namespace hickoryloft::fleet {

namespace {

const Logger kLog("knowledge");

std::int64_t ViewAgeMillis(const EvacuationControl::Knowledge& knowledge) {
  return knowledge.m_complete_until
             ? ToMillis(knowledge.m_now - *knowledge.m_complete_until).count()
             : -1;
}

}  // namespace

EvacuationControl::EvacuationControl(
    const FleetDecoder& decoder,
    EndpointDirectory& directory,
    std::function<void(const EndpointId&)> endpoint_changed)
    : m_decoder(decoder),
      m_directory(directory),
      m_endpoint_changed(std::move(endpoint_changed)) {}

void EvacuationControl::Put(const keyvalue::KeyValue& item,
                            const Knowledge& knowledge) {
  if (const auto domain = DomainOf(item)) {
    Begin(*domain, item, knowledge);
    UpdateEndpoints(knowledge.m_now);
  }
}

void EvacuationControl::Remove(const keyvalue::KeyValue& item,
                               const Knowledge& knowledge) {
  const auto domain = DomainOf(item);
  if (domain && m_evacuations.End(*domain)) {
    TakeBack(*domain, knowledge);
    UpdateEndpoints(knowledge.m_now);
  }
}

void EvacuationControl::ReplaceAll(const std::vector<keyvalue::KeyValue>& items,
                                   std::optional<MonotonicTime> keep_until,
                                   const Knowledge& knowledge) {
  std::set<FailureDomainId> requested;
  for (const keyvalue::KeyValue& item : items) {
    if (const auto domain = DomainOf(item)) {
      requested.insert(*domain);
      Begin(*domain, item, knowledge);
    }
  }
  for (const FailureDomainId& domain :
       m_evacuations.RetainOnly(requested, keep_until)) {
    TakeBack(domain, knowledge);
  }
  UpdateEndpoints(knowledge.m_now);
}

void EvacuationControl::Tick(const Knowledge& knowledge) {
  for (const FailureDomainId& domain :
       m_evacuations.DropUnconfirmed(knowledge.m_now)) {
    TakeBack(domain, knowledge);
  }
  UpdateEndpoints(knowledge.m_now);
}

std::optional<FailureDomainId> EvacuationControl::DomainOf(
    const keyvalue::KeyValue& item) const {
  try {
    return m_decoder.EvacuatedDomainOf(item.m_key);
  } catch (const Error& error) {
    kLog.Warn("request to empty a failure domain unreadable; ignored",
              {{"reason", error.what()},
               {"revision", DescribeRevision(item.m_mod_revision)}});
    return std::nullopt;
  }
}

void EvacuationControl::Begin(const FailureDomainId& domain,
                              const keyvalue::KeyValue& item,
                              const Knowledge& knowledge) {
  if (m_evacuations.Begin(domain, knowledge.m_complete_until)) {
    kLog.Info("failure domain is to be emptied",
              {{"failure_domain", domain.value()},
               {"revision", DescribeRevision(item.m_mod_revision)},
               {"source", knowledge.m_source},
               {"view_age_ms", ViewAgeMillis(knowledge)}});
  }
}

void EvacuationControl::TakeBack(const FailureDomainId& domain,
                                 const Knowledge& knowledge) {
  for (const auto& [id, entry] : m_directory.entries()) {
    const ServiceSpec* service =
        knowledge.m_configuration
            ? knowledge.m_configuration->FindService(entry.m_service)
            : nullptr;
    if (entry.m_failure_domain == domain && service != nullptr) {
      m_directory.MarkReturning(id, knowledge.m_now + service->m_cold_start);
    }
  }
  kLog.Info("failure domain taken back",
            {{"failure_domain", domain.value()},
             {"endpoints", EndpointsIn(domain)},
             {"source", knowledge.m_source},
             {"view_age_ms", ViewAgeMillis(knowledge)}});
}

std::uint64_t EvacuationControl::EndpointsIn(
    const FailureDomainId& domain) const {
  const auto& entries = m_directory.entries();
  return static_cast<std::uint64_t>(
      std::count_if(entries.begin(), entries.end(), [&](const auto& listed) {
        return listed.second.m_failure_domain == domain;
      }));
}

void EvacuationControl::UpdateEndpoints(MonotonicTime now) {
  auto states = m_evacuations.States(now);
  if (states == m_states) {
    return;
  }
  for (const auto& [domain, state] : states) {
    const auto known = m_states.find(domain);
    if (state == Evacuation::kEvacuated &&
        (known == m_states.end() || known->second != state)) {
      kLog.Info("failure domain evacuated; its endpoints get no more requests",
                {{"failure_domain", domain.value()},
                 {"endpoints", EndpointsIn(domain)}});
    }
  }
  m_states = std::move(states);
  for (const EndpointId& id : m_directory.SetEvacuations(m_states)) {
    m_endpoint_changed(id);
  }
}

}  // namespace hickoryloft::fleet
