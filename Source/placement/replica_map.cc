#include "placement/replica_map.h"

namespace hickoryloft::placement {

bool ReplicaMap::Publish(FencingNumber fence,
                         const PlacementState& state,
                         MonotonicTime now) {
  const PlacementVersion before = m_log.version();
  if (!m_log.Publish(fence, state, now)) {
    return false;
  }
  RecordChanges(m_log.Since(before, now)->m_changes, now);
  return true;
}

bool ReplicaMap::ApplyUpdate(const PlacementUpdate& update, MonotonicTime now) {
  const PlacementVersion before = m_log.version();
  RecordChanges(m_log.ApplyUpdate(update, now), now);
  return m_log.version() != before;
}

void ReplicaMap::RecordChanges(const std::vector<PlacementChange>& changes,
                               MonotonicTime now) {
  if (changes.empty()) {
    return;
  }
  RemoveExpired(now);
  for (const PlacementChange& change : changes) {
    if (change.m_fact == PlacementFact::kModel) {
      m_models[change.m_model].m_published[change.m_endpoint] = {
          .m_present = change.m_holds, .m_until = now + kUpdateLifetime};
    }
  }
}

void ReplicaMap::RemoveExpired(MonotonicTime now) {
  for (auto& [model, known] : m_models) {
    std::erase_if(known.m_published,
                  [&](const auto& one) { return one.second.m_until <= now; });
    std::erase_if(known.m_missing_until,
                  [&](const auto& one) { return one.second <= now; });
  }
  std::erase_if(m_models,
                [](const auto& entry) { return entry.second.empty(); });
}

void ReplicaMap::RecordMissing(const EndpointId& endpoint,
                               const ModelId& model,
                               const AdapterId& adapter,
                               MonotonicTime now) {
  RemoveExpired(now);
  m_models[model].m_missing_until[{endpoint, adapter}] = now + kMissingPause;
}

bool ReplicaMap::Holds(const fleet::EndpointEntry& entry,
                       const ModelId& model,
                       MonotonicTime now) const {
  if (const auto known = m_models.find(model); known != m_models.end()) {
    const auto& published = known->second.m_published;
    const auto one = published.find(entry.m_id);
    if (one != published.end() && now < one->second.m_until) {
      return one->second.m_present;
    }
  }
  return entry.m_models.contains(model);
}

bool ReplicaMap::Serves(const fleet::EndpointEntry& entry,
                        const ModelId& model,
                        const AdapterId& adapter,
                        MonotonicTime now) const {
  if (!Holds(entry, model, now) || m_log.IsUnloading(entry.m_id, model)) {
    return false;
  }
  if (const auto known = m_models.find(model); known != m_models.end()) {
    const auto& missing = known->second.m_missing_until;
    const auto one = missing.find({entry.m_id, adapter});
    if (one != missing.end() && now < one->second) {
      return false;
    }
  }
  return adapter.empty() || m_log.HoldsAdapter(entry.m_id, model, adapter);
}

std::vector<EndpointId> ReplicaMap::PublishedHolders(
    const ModelId& model) const {
  std::vector<EndpointId> holders;
  const auto known = m_models.find(model);
  if (known != m_models.end()) {
    for (const auto& [id, published] : known->second.m_published) {
      if (published.m_present) {
        holders.push_back(id);
      }
    }
  }
  return holders;
}

}  // namespace hickoryloft::placement
