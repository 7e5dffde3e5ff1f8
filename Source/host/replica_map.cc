#include "host/replica_map.h"

namespace hickoryloft::host {

bool ReplicaMap::Take(const PlacementNews& news, MonotonicTime now) {
  if (news.m_fence < m_news.m_fence ||
      (news.m_fence == m_news.m_fence && news.m_number <= m_news.m_number)) {
    return false;
  }
  std::erase_if(m_announced,
                [&](const auto& known) { return known.second.m_until <= now; });
  for (const auto& [model, present] : news.m_models) {
    const auto known = m_news.m_models.find(model);
    // An announcement that is merely repeated does not live longer.
    if (known == m_news.m_models.end() || known->second != present) {
      m_announced[model] = {.m_present = present, .m_until = now + kNewsLife};
    }
  }
  m_news = news;
  return true;
}

void ReplicaMap::NoteLack(const EndpointId& endpoint,
                          const ModelId& model,
                          const AdapterId& adapter,
                          MonotonicTime now) {
  std::erase_if(m_lacking_until,
                [&](const auto& known) { return known.second <= now; });
  m_lacking_until[{endpoint, model, adapter}] = now + kLackPause;
}

bool ReplicaMap::Holds(const fleet::EndpointEntry& entry,
                       const ModelId& model,
                       MonotonicTime now) const {
  const auto announced = m_announced.find({entry.m_id, model});
  if (announced != m_announced.end() && now < announced->second.m_until) {
    return announced->second.m_present;
  }
  return entry.m_models.contains(model);
}

bool ReplicaMap::Serves(const fleet::EndpointEntry& entry,
                        const ModelId& model,
                        const AdapterId& adapter,
                        MonotonicTime now) const {
  if (!Holds(entry, model, now) ||
      m_news.m_leaving.contains({entry.m_id, model})) {
    return false;
  }
  const auto lacking = m_lacking_until.find({entry.m_id, model, adapter});
  if (lacking != m_lacking_until.end() && now < lacking->second) {
    return false;
  }
  return adapter.empty() ||
         m_news.m_adapters.contains({entry.m_id, model, adapter});
}

}  // namespace hickoryloft::host
