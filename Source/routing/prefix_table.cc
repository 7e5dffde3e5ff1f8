#include "routing/prefix_table.h"

namespace hickoryloft::routing {

const EndpointId* PrefixTable::Find(const PrefixChain& chain) const {
  for (std::size_t i = chain.m_size; i > 0; --i) {
    const auto found = m_index.find(chain.m_hashes[i - 1]);
    if (found != m_index.end()) {
      return &found->second->m_endpoint;
    }
  }
  return nullptr;
}

void PrefixTable::Record(const PrefixChain& chain, const EndpointId& endpoint) {
  for (std::size_t i = 0; i < chain.m_size; ++i) {
    const std::uint64_t hash = chain.m_hashes[i];
    const auto found = m_index.find(hash);
    if (found != m_index.end()) {
      found->second->m_endpoint = endpoint;
      m_items.splice(m_items.begin(), m_items, found->second);
      continue;
    }
    m_items.push_front({hash, endpoint});
    m_index.emplace(hash, m_items.begin());
    if (m_items.size() > m_capacity) {
      m_index.erase(m_items.back().m_hash);
      m_items.pop_back();
    }
  }
}

}  // namespace hickoryloft::routing
