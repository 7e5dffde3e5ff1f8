#include "fleet/endpoint_directory.h"

#include <utility>

namespace hickoryloft::fleet {

EndpointDirectory::Change EndpointDirectory::Put(EndpointEntry entry) {
  const EndpointId id = entry.m_id;
  const auto known = m_entries.find(id);
  const auto gone = m_gone.find(id);
  if ((known != m_entries.end() &&
       PositionOf(entry) < PositionOf(known->second)) ||
      (gone != m_gone.end() && !(gone->second < PositionOf(entry)))) {
    return Change::kNone;
  }
  m_gone.erase(id);
  m_lapsed_until.erase(id);
  ++m_version;
  if (known == m_entries.end()) {
    m_entries.emplace(id, std::move(entry));
    return Change::kAdded;
  }
  const bool restarted = known->second.m_started_at_ms != entry.m_started_at_ms;
  known->second = std::move(entry);
  return restarted ? Change::kRestarted : Change::kUpdated;
}

EndpointDirectory::Change EndpointDirectory::Remove(const EndpointId& id,
                                                    bool disturbed,
                                                    MonotonicTime now) {
  const auto known = m_entries.find(id);
  if (known == m_entries.end()) {
    return Change::kNone;
  }
  const bool leaving = known->second.m_state == EndpointState::kDraining;
  if (disturbed && !leaving) {
    m_lapsed_until.try_emplace(id, now + kLapsedGrace);
    return Change::kLapsed;
  }
  Forget(id);
  return Change::kRemoved;
}

void EndpointDirectory::Forget(const EndpointId& id) {
  const auto known = m_entries.find(id);
  if (known != m_entries.end()) {
    if (m_gone.size() >= kMaxGone) {
      m_gone.erase(m_gone.begin());
    }
    m_gone[id] = PositionOf(known->second);
    m_entries.erase(known);
  }
  m_lapsed_until.erase(id);
  ++m_version;
}

std::vector<EndpointId> EndpointDirectory::RetainOnly(
    const std::unordered_set<EndpointId>& present,
    bool disturbed,
    MonotonicTime now) {
  std::vector<EndpointId> missing;
  for (const auto& [id, entry] : m_entries) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  std::vector<EndpointId> removed;
  for (const EndpointId& id : missing) {
    if (Remove(id, disturbed, now) == Change::kRemoved) {
      removed.push_back(id);
    }
  }
  return removed;
}

std::vector<EndpointId> EndpointDirectory::DropLapsed(MonotonicTime now) {
  std::vector<EndpointId> dropped;
  for (auto at = m_lapsed_until.begin(); at != m_lapsed_until.end();) {
    if (at->second > now) {
      ++at;
      continue;
    }
    dropped.push_back(at->first);
    const EndpointId id = at->first;
    ++at;
    Forget(id);
  }
  return dropped;
}

const EndpointEntry* EndpointDirectory::Find(const EndpointId& id) const {
  const auto known = m_entries.find(id);
  return known == m_entries.end() ? nullptr : &known->second;
}

}  // namespace hickoryloft::fleet
