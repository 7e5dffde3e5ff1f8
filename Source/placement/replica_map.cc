#include "placement/replica_map.h"

namespace hickoryloft::placement {

bool ReplicaMap::Announce(FencingNumber fence,
                          const PlacementNews& state,
                          MonotonicTime now) {
  const NewsPosition before = m_log.position();
  if (!m_log.Announce(fence, state, now)) {
    return false;
  }
  NoteChanges(m_log.Since(before, now)->m_changes, now);
  return true;
}

bool ReplicaMap::Take(const NewsUpdate& update, MonotonicTime now) {
  const NewsPosition before = m_log.position();
  NoteChanges(m_log.Take(update, now), now);
  return m_log.position() != before;
}

void ReplicaMap::NoteChanges(const std::vector<PlacementChange>& changes,
                             MonotonicTime now) {
  if (changes.empty()) {
    return;
  }
  Forget(now);
  for (const PlacementChange& change : changes) {
    if (change.m_fact == PlacementFact::kModel) {
      m_models[change.m_model].m_announced[change.m_endpoint] = {
          .m_present = change.m_holds, .m_until = now + kNewsLife};
    }
  }
}

void ReplicaMap::Forget(MonotonicTime now) {
  for (auto& [model, known] : m_models) {
    std::erase_if(known.m_announced,
                  [&](const auto& one) { return one.second.m_until <= now; });
    std::erase_if(known.m_lacking_until,
                  [&](const auto& one) { return one.second <= now; });
  }
  std::erase_if(m_models,
                [](const auto& entry) { return entry.second.empty(); });
}

void ReplicaMap::NoteLack(const EndpointId& endpoint,
                          const ModelId& model,
                          const AdapterId& adapter,
                          MonotonicTime now) {
  Forget(now);
  m_models[model].m_lacking_until[{endpoint, adapter}] = now + kLackPause;
}

bool ReplicaMap::Holds(const fleet::EndpointEntry& entry,
                       const ModelId& model,
                       MonotonicTime now) const {
  if (const auto known = m_models.find(model); known != m_models.end()) {
    const auto& announced = known->second.m_announced;
    const auto one = announced.find(entry.m_id);
    if (one != announced.end() && now < one->second.m_until) {
      return one->second.m_present;
    }
  }
  return entry.m_models.contains(model);
}

bool ReplicaMap::Serves(const fleet::EndpointEntry& entry,
                        const ModelId& model,
                        const AdapterId& adapter,
                        MonotonicTime now) const {
  if (!Holds(entry, model, now) || m_log.Leaving(entry.m_id, model)) {
    return false;
  }
  if (const auto known = m_models.find(model); known != m_models.end()) {
    const auto& lacking = known->second.m_lacking_until;
    const auto one = lacking.find({entry.m_id, adapter});
    if (one != lacking.end() && now < one->second) {
      return false;
    }
  }
  return adapter.empty() || m_log.HoldsAdapter(entry.m_id, model, adapter);
}

std::vector<EndpointId> ReplicaMap::AnnouncedHolders(
    const ModelId& model) const {
  std::vector<EndpointId> holders;
  const auto known = m_models.find(model);
  if (known != m_models.end()) {
    for (const auto& [id, announced] : known->second.m_announced) {
      if (announced.m_present) {
        holders.push_back(id);
      }
    }
  }
  return holders;
}

}  // namespace hickoryloft::placement
