#include "routing/fleet_load.h"

#include <algorithm>

#include "base/hashing.h"

namespace hickoryloft::routing {

namespace {

// Adds `amount` to the entry of `key`; entries that reach zero are erased.
template <typename Map>
void AddTo(Map& sums, const typename Map::key_type& key, int amount) {
  const auto entry = sums.try_emplace(key, 0).first;
  if ((entry->second += amount) == 0) {
    sums.erase(entry);
  }
}

}  // namespace

EndpointKey KeyOf(const EndpointId& endpoint) {
  return StableHash(endpoint.value());
}

void FleetLoad::Begin(const EndpointId& endpoint, const ModelId& model) {
  AddTo(m_own, {endpoint, model}, 1);
  AddTo(m_own_totals, KeyOf(endpoint), 1);
}

void FleetLoad::End(const EndpointId& endpoint, const ModelId& model) {
  if (!m_own.contains({endpoint, model})) {
    return;
  }
  AddTo(m_own, {endpoint, model}, -1);
  AddTo(m_own_totals, KeyOf(endpoint), -1);
}

void FleetLoad::SetOthers(const EndpointLevels& running) {
  m_others.clear();
  m_others.insert(running.begin(), running.end());
}

int FleetLoad::Total(const EndpointId& endpoint) const {
  const EndpointKey key = KeyOf(endpoint);
  const auto own = m_own_totals.find(key);
  const auto others = m_others.find(key);
  return (own == m_own_totals.end() ? 0 : own->second) +
         (others == m_others.end() ? 0 : others->second);
}

int FleetLoad::Total(const EndpointId& endpoint, const ModelId& model) const {
  const std::pair key(endpoint, model);
  const auto own = m_own.find(key);
  // The groups' reports include this host's requests, but lag behind them.
  return std::max(own == m_own.end() ? 0 : own->second, m_by_model.Total(key));
}

}  // namespace hickoryloft::routing
