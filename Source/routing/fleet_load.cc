#include "routing/fleet_load.h"

namespace hickoryloft::routing {

void FleetLoad::Add(const EndpointId& endpoint,
                    const ModelId& model,
                    int amount) {
  if ((m_totals[endpoint] += amount) == 0) {
    m_totals.erase(endpoint);
  }
  const auto key = std::pair(endpoint, model);
  if ((m_by_model[key] += amount) == 0) {
    m_by_model.erase(key);
  }
}

void FleetLoad::Begin(const EndpointId& endpoint, const ModelId& model) {
  ++m_own[{endpoint, model}];
  Add(endpoint, model, 1);
}

void FleetLoad::End(const EndpointId& endpoint, const ModelId& model) {
  const auto own = m_own.find({endpoint, model});
  if (own == m_own.end()) {
    return;
  }
  if (--own->second == 0) {
    m_own.erase(own);
  }
  Add(endpoint, model, -1);
}

void FleetLoad::TakeReport(const HostId& peer,
                           const std::vector<EndpointUse>& uses) {
  ForgetPeer(peer);
  for (const EndpointUse& use : uses) {
    Add(use.m_endpoint, use.m_model, use.m_running);
  }
  m_peers[peer] = uses;
}

void FleetLoad::ForgetPeer(const HostId& peer) {
  const auto known = m_peers.find(peer);
  if (known == m_peers.end()) {
    return;
  }
  for (const EndpointUse& use : known->second) {
    Add(use.m_endpoint, use.m_model, -use.m_running);
  }
  m_peers.erase(known);
}

int FleetLoad::Total(const EndpointId& endpoint) const {
  const auto total = m_totals.find(endpoint);
  return total == m_totals.end() ? 0 : total->second;
}

int FleetLoad::Total(const EndpointId& endpoint, const ModelId& model) const {
  const auto total = m_by_model.find({endpoint, model});
  return total == m_by_model.end() ? 0 : total->second;
}

std::vector<EndpointUse> FleetLoad::OwnUses() const {
  std::vector<EndpointUse> uses;
  uses.reserve(m_own.size());
  for (const auto& [key, running] : m_own) {
    uses.push_back(
        {.m_endpoint = key.first, .m_model = key.second, .m_running = running});
  }
  return uses;
}

}  // namespace hickoryloft::routing
