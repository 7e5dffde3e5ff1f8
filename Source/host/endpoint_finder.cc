#include "host/endpoint_finder.h"

#include <algorithm>
#include <vector>

#include "routing/endpoint_selector.h"

namespace hickoryloft::host {

const fleet::EndpointEntry* EndpointFinder::Choose() const {
  const fleet::EndpointEntry* chosen = ChooseAmong(/*tried=*/false);
  if (chosen != nullptr || m_requirements.m_tried.empty()) {
    return chosen;
  }
  // If all endpoints with the model have been tried, one of them may be tried
  // again once it is no longer avoided.
  chosen = ChooseAmong(/*tried=*/true);
  const bool pause_over =
      chosen != nullptr &&
      !m_context.m_health.Avoided(chosen->m_id, m_context.m_loop.Now());
  return pause_over ? chosen : nullptr;
}

void EndpointFinder::ForEachReadyEndpoint(
    const std::function<void(const fleet::EndpointEntry&)>& visit) const {
  const fleet::EndpointDirectory& directory = m_context.m_knowledge.directory();
  const auto visit_if_ready = [&](const fleet::EndpointEntry& entry) {
    if (entry.m_service == m_requirements.m_service &&
        entry.AcceptsRequests() && IsEligible(entry)) {
      visit(entry);
    }
  };
  if (m_requirements.m_model.empty()) {
    for (const EndpointId& id :
         directory.EndpointsOf(m_requirements.m_service)) {
      visit_if_ready(*directory.Find(id));
    }
    return;
  }
  const auto& registered = directory.EndpointsWithModel(m_requirements.m_model);
  for (const EndpointId& id : registered) {
    visit_if_ready(*directory.Find(id));
  }
  for (const EndpointId& id :
       m_context.m_replicas.PublishedHolders(m_requirements.m_model)) {
    const fleet::EndpointEntry* entry = directory.Find(id);
    if (entry != nullptr && !registered.contains(id)) {
      visit_if_ready(*entry);
    }
  }
}

routing::EndpointPlace EndpointFinder::PlaceOf(
    const fleet::EndpointEntry& entry) const {
  return {.m_region = m_context.m_settings.RegionOf(entry.m_failure_domain),
          .m_evacuated = entry.m_evacuation == fleet::Evacuation::kEvacuated};
}

bool EndpointFinder::IsEligible(const fleet::EndpointEntry& entry) const {
  return routing::IsEligible(PlaceOf(entry), m_requirements.m_homes);
}

routing::ServiceReach EndpointFinder::Reach() const {
  // Waiting requests ask often, so the usual case must not look at every
  // endpoint.
  if (m_context.m_knowledge.evacuations().empty() &&
      m_requirements.m_homes.AllowAll()) {
    return routing::ServiceReach::kReachable;
  }
  const fleet::EndpointDirectory& directory = m_context.m_knowledge.directory();
  std::vector<routing::EndpointPlace> places;
  for (const EndpointId& id : directory.EndpointsOf(m_requirements.m_service)) {
    places.push_back(PlaceOf(*directory.Find(id)));
  }
  return routing::ReachOf(places, m_requirements.m_homes);
}

bool EndpointFinder::CanServe(const fleet::EndpointEntry& entry) const {
  const MonotonicTime now = m_context.m_loop.Now();
  return !m_context.m_health.InBackoff(entry.m_id, now) &&
         (m_requirements.m_model.empty() ||
          m_context.m_replicas.Serves(entry, m_requirements.m_model,
                                      m_requirements.m_adapter, now));
}

const fleet::EndpointEntry* EndpointFinder::ChooseAmong(bool tried) const {
  const MonotonicTime now = m_context.m_loop.Now();
  std::vector<routing::Candidate> candidates;
  std::vector<const fleet::EndpointEntry*> entries;
  std::vector<const fleet::EndpointEntry*> without_permit;
  ForEachReadyEndpoint([&](const fleet::EndpointEntry& entry) {
    if (m_requirements.m_tried.contains(entry.m_id) != tried ||
        !CanServe(entry)) {
      return;
    }
    if (!m_context.m_permits.MaySend(entry)) {
      without_permit.push_back(&entry);
      return;
    }
    candidates.push_back(
        {.m_endpoint = entry.m_id,
         .m_failure_domain = entry.m_failure_domain,
         .m_slots = entry.m_slots,
         .m_running = m_context.m_load.Total(entry.m_id),
         .m_avoided = m_context.m_health.Avoided(entry.m_id, now) ||
                      entry.m_evacuation == fleet::Evacuation::kEmptying});
    entries.push_back(&entry);
  });
  const int chosen =
      routing::SelectEndpoint(candidates, m_context.m_settings.m_failure_domain,
                              {}, m_context.m_random);
  for (const fleet::EndpointEntry* entry : without_permit) {
    m_context.m_permits.Ask(*entry, /*urgent=*/chosen < 0);
  }
  return chosen < 0 ? nullptr : entries[static_cast<std::size_t>(chosen)];
}

std::string EndpointFinder::Describe() const {
  const fleet::EndpointDirectory& directory = m_context.m_knowledge.directory();
  const auto& endpoints = directory.EndpointsOf(m_requirements.m_service);
  const auto ready = std::count_if(
      endpoints.begin(), endpoints.end(), [&](const EndpointId& id) {
        return directory.Find(id)->AcceptsRequests();
      });
  const auto evacuated = std::count_if(
      endpoints.begin(), endpoints.end(), [&](const EndpointId& id) {
        return directory.Find(id)->m_evacuation != fleet::Evacuation::kNone;
      });
  int holding = 0;
  int serving = 0;
  int with_room = 0;
  int without_permit = 0;
  ForEachReadyEndpoint([&](const fleet::EndpointEntry& entry) {
    const bool serves =
        !m_requirements.m_tried.contains(entry.m_id) && CanServe(entry);
    ++holding;
    without_permit += m_context.m_permits.MaySend(entry) ? 0 : 1;
    serving += serves ? 1 : 0;
    with_room +=
        serves && m_context.m_load.Total(entry.m_id) < entry.m_slots ? 1 : 0;
  });
  return "ready " + std::to_string(ready) + ", holding the model " +
         std::to_string(holding) + ", serving it " + std::to_string(serving) +
         ", with room " + std::to_string(with_room) +
         (without_permit == 0
              ? ""
              : ", without a permit " + std::to_string(without_permit)) +
         (evacuated == 0 ? "" : ", evacuated " + std::to_string(evacuated));
}

}  // namespace hickoryloft::host
