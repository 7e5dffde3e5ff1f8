#include "host/replica_map.h"

namespace hickoryloft::host {

void ReplicaMap::Set(std::set<Adapter> adapters, std::set<Model> leaving) {
  m_adapters = std::move(adapters);
  m_leaving = std::move(leaving);
}

void ReplicaMap::NoteLack(const EndpointId& endpoint,
                          const ModelId& model,
                          const AdapterId& adapter,
                          MonotonicTime now) {
  std::erase_if(m_lacking_until,
                [&](const auto& known) { return known.second <= now; });
  m_lacking_until[{endpoint, model, adapter}] = now + kLackPause;
}

bool ReplicaMap::Serves(const EndpointId& endpoint,
                        const ModelId& model,
                        const AdapterId& adapter,
                        MonotonicTime now) const {
  if (m_leaving.contains({endpoint, model})) {
    return false;
  }
  const auto lacking = m_lacking_until.find({endpoint, model, adapter});
  if (lacking != m_lacking_until.end() && now < lacking->second) {
    return false;
  }
  return adapter.empty() || m_adapters.contains({endpoint, model, adapter});
}

}  // namespace hickoryloft::host
