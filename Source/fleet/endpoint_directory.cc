#include "fleet/endpoint_directory.h"

#include <utility>

namespace hickoryloft::fleet {

EndpointDirectory::Change EndpointDirectory::Put(EndpointEntry entry) {
  const EndpointId id = entry.m_id;
  const auto known = m_entries.find(id);
  const auto removed_entry = m_removed.find(id);
  if ((known != m_entries.end() &&
       VersionOf(entry) < VersionOf(known->second)) ||
      (removed_entry != m_removed.end() &&
       !(removed_entry->second < VersionOf(entry)))) {
    return Change::kNone;
  }
  m_removed.erase(id);
  m_lapsed.erase(id);
  ++m_version;
  const auto leaving = m_leaving.find(id);
  entry.m_announced_leaving =
      leaving != m_leaving.end() && leaving->second == entry.m_started_at_ms;
  entry.m_evacuation = EvacuationOf(entry.m_failure_domain);
  if (known == m_entries.end()) {
    AddToIndices(entry);
    m_entries.emplace(id, std::move(entry));
    return Change::kAdded;
  }
  RemoveFromIndices(known->second);
  AddToIndices(entry);
  const bool restarted = known->second.m_started_at_ms != entry.m_started_at_ms;
  if (!restarted) {
    entry.m_returning_until = known->second.m_returning_until;
    if (!entry.m_cold_for) {
      entry.m_cold_until = known->second.m_cold_until;
    }
  }
  known->second = std::move(entry);
  return restarted ? Change::kRestarted : Change::kUpdated;
}

EndpointDirectory::Change EndpointDirectory::Remove(
    const EndpointId& id,
    std::optional<MonotonicTime> keep_until) {
  const auto known = m_entries.find(id);
  if (known == m_entries.end()) {
    return Change::kNone;
  }
  if (keep_until && !known->second.IsLeaving()) {
    m_lapsed.try_emplace(id, Lapse{.m_until = *keep_until});
    return Change::kLapsed;
  }
  RemoveEntry(id, Absence::kRemoved);
  return Change::kRemoved;
}

void EndpointDirectory::RemoveEntry(const EndpointId& id, Absence absence) {
  const auto known = m_entries.find(id);
  if (known != m_entries.end()) {
    // A registration that the service lost is written again unchanged.
    if (absence == Absence::kRemoved) {
      if (m_removed.size() >= kMaxRemoved) {
        m_removed.erase(m_removed.begin());
      }
      m_removed[id] = VersionOf(known->second);
    }
    RemoveFromIndices(known->second);
    m_entries.erase(known);
  }
  m_lapsed.erase(id);
  ++m_version;
}

std::map<EndpointId, std::int64_t> EndpointDirectory::RetainOnly(
    const std::unordered_set<EndpointId>& present,
    std::optional<MonotonicTime> keep_until,
    Absence absence) {
  std::map<EndpointId, std::int64_t> missing;
  for (const auto& [id, entry] : m_entries) {
    if (!present.contains(id)) {
      missing.emplace(id, entry.m_started_at_ms);
    }
  }
  std::map<EndpointId, std::int64_t> removed;
  for (const auto& [id, started_at_ms] : missing) {
    const Change change = Remove(id, keep_until);
    if (change == Change::kRemoved) {
      removed.emplace(id, started_at_ms);
    } else if (absence == Absence::kHistoryLost && m_lapsed.contains(id)) {
      m_lapsed.at(id).m_absence = absence;
    }
  }
  return removed;
}

std::map<EndpointId, std::int64_t> EndpointDirectory::DropLapsed(
    MonotonicTime now) {
  std::map<EndpointId, std::int64_t> dropped;
  for (auto at = m_lapsed.begin(); at != m_lapsed.end();) {
    if (at->second.m_until > now) {
      ++at;
      continue;
    }
    const EndpointId id = at->first;
    dropped.emplace(id, m_entries.at(id).m_started_at_ms);
    const Absence absence = at->second.m_absence;
    ++at;
    RemoveEntry(id, absence);
  }
  return dropped;
}

void EndpointDirectory::AddToIndices(const EndpointEntry& entry) {
  m_by_service[entry.m_service].insert(entry.m_id);
  for (const auto& [model, adapters] : entry.m_models) {
    m_by_model[model].insert(entry.m_id);
  }
}

void EndpointDirectory::RemoveFromIndices(const EndpointEntry& entry) {
  const auto remove = [&](auto& index, const auto& key) {
    const auto listed = index.find(key);
    if (listed != index.end()) {
      listed->second.erase(entry.m_id);
      if (listed->second.empty()) {
        index.erase(listed);
      }
    }
  };
  remove(m_by_service, entry.m_service);
  for (const auto& [model, adapters] : entry.m_models) {
    remove(m_by_model, model);
  }
}

const std::set<EndpointId>& EndpointDirectory::EndpointsWithModel(
    const ModelId& model) const {
  static const std::set<EndpointId> kNone;
  const auto endpoints = m_by_model.find(model);
  return endpoints == m_by_model.end() ? kNone : endpoints->second;
}

const std::set<EndpointId>& EndpointDirectory::EndpointsOf(
    const ServiceId& service) const {
  static const std::set<EndpointId> kNone;
  const auto endpoints = m_by_service.find(service);
  return endpoints == m_by_service.end() ? kNone : endpoints->second;
}

bool EndpointDirectory::MarkLeaving(const EndpointId& id,
                                    std::int64_t started_at_ms) {
  const auto recorded = m_leaving.find(id);
  if (recorded != m_leaving.end() && recorded->second >= started_at_ms) {
    return false;
  }
  if (m_leaving.size() >= kMaxRemoved) {
    m_leaving.erase(m_leaving.begin());
  }
  m_leaving[id] = started_at_ms;
  const auto known = m_entries.find(id);
  if (known != m_entries.end() &&
      known->second.m_started_at_ms == started_at_ms) {
    known->second.m_announced_leaving = true;
    ++m_version;
  }
  return true;
}

void EndpointDirectory::MarkCold(const EndpointId& id,
                                 std::int64_t started_at_ms,
                                 MonotonicTime until) {
  const auto known = m_entries.find(id);
  if (known != m_entries.end() &&
      known->second.m_started_at_ms == started_at_ms) {
    known->second.m_cold_until = until;
  }
}

void EndpointDirectory::MarkReturning(const EndpointId& id,
                                      MonotonicTime until) {
  const auto known = m_entries.find(id);
  if (known != m_entries.end()) {
    known->second.m_returning_until = until;
  }
}

std::vector<EndpointId> EndpointDirectory::SetEvacuations(
    std::map<FailureDomainId, Evacuation> evacuations) {
  m_evacuations = std::move(evacuations);
  std::vector<EndpointId> changed;
  for (auto& [id, entry] : m_entries) {
    const Evacuation evacuation = EvacuationOf(entry.m_failure_domain);
    if (std::exchange(entry.m_evacuation, evacuation) != evacuation) {
      changed.push_back(id);
    }
  }
  m_version += changed.empty() ? 0 : 1;
  return changed;
}

Evacuation EndpointDirectory::EvacuationOf(
    const FailureDomainId& domain) const {
  const auto known = m_evacuations.find(domain);
  return known == m_evacuations.end() ? Evacuation::kNone : known->second;
}

const EndpointEntry* EndpointDirectory::Find(const EndpointId& id) const {
  const auto known = m_entries.find(id);
  return known == m_entries.end() ? nullptr : &known->second;
}

}  // namespace hickoryloft::fleet
