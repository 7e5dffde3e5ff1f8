#include "routing/endpoint_table.h"

#include <algorithm>

namespace hickoryloft::routing {

namespace {

const EndpointTable::Candidates kNoCandidates;

template <typename Map, typename Key>
void Erase(Map& map, const Key& key, const EndpointRecord* record) {
  const auto found = map.find(key);
  if (found == map.end()) {
    return;
  }
  std::erase(found->second, record);
  if (found->second.empty()) {
    map.erase(found);
  }
}

template <typename Map, typename Key>
const EndpointTable::Candidates& Lookup(const Map& map, const Key& key) {
  const auto found = map.find(key);
  return found == map.end() ? kNoCandidates : found->second;
}

}  // namespace

void EndpointTable::ReplaceAll(std::vector<EndpointRecord> records) {
  m_records.clear();
  for (EndpointRecord& record : records) {
    const EndpointId id = record.m_id;
    m_records.insert_or_assign(
        id, std::make_unique<EndpointRecord>(std::move(record)));
  }
  Reindex();
}

void EndpointTable::Update(EndpointRecord record) {
  std::unique_ptr<EndpointRecord>& stored = m_records[record.m_id];
  if (stored) {
    Unindex(*stored);
    *stored = std::move(record);
  } else {
    stored = std::make_unique<EndpointRecord>(std::move(record));
  }
  Index(*stored);
}

void EndpointTable::Remove(const EndpointId& id) {
  const auto found = m_records.find(id);
  if (found != m_records.end()) {
    Unindex(*found->second);
    m_records.erase(found);
  }
}

void EndpointTable::MarkLeaving(const EndpointId& id, MonotonicTime now) {
  m_leaving_hints[id] = now;
  if (const auto found = m_records.find(id); found != m_records.end()) {
    Unindex(*found->second);
  }
}

void EndpointTable::MarkNotLoaded(const EndpointId& id,
                                  const std::string& served_name) {
  const auto found = m_records.find(id);
  if (found == m_records.end()) {
    return;
  }
  Unindex(*found->second);
  std::erase_if(found->second->m_replicas, [&](const Replica& replica) {
    return replica.m_served_name == served_name;
  });
  Index(*found->second);
}

void EndpointTable::SetDraining(std::set<EndpointId> draining) {
  if (draining != m_draining) {
    m_draining = std::move(draining);
    Reindex();
  }
}

void EndpointTable::ExpireHints(MonotonicTime now) {
  const auto expired = std::erase_if(m_leaving_hints, [now](const auto& hint) {
    return now - hint.second >= kLeavingHintHold;
  });
  if (expired > 0) {
    Reindex();
  }
}

const EndpointTable::Candidates& EndpointTable::Ready(
    const std::string& served_name) const {
  return Lookup(m_ready, served_name);
}

const EndpointTable::Candidates& EndpointTable::Service(
    const ServiceId& service) const {
  return Lookup(m_services, service);
}

std::optional<MonotonicTime> EndpointTable::ReadyAt(
    const std::string& served_name) const {
  std::optional<MonotonicTime> earliest;
  for (const EndpointRecord* record : Lookup(m_loading, served_name)) {
    for (const Replica& replica : record->m_replicas) {
      if (replica.m_served_name == served_name && replica.m_ready_at &&
          (!earliest || *replica.m_ready_at < *earliest)) {
        earliest = replica.m_ready_at;
      }
    }
  }
  return earliest;
}

const EndpointRecord* EndpointTable::Find(const EndpointId& id) const {
  const auto found = m_records.find(id);
  return found == m_records.end() ? nullptr : found->second.get();
}

bool EndpointTable::Offered(const EndpointRecord& record) const {
  return !record.m_leaving && !m_draining.contains(record.m_id) &&
         !m_leaving_hints.contains(record.m_id);
}

void EndpointTable::Index(const EndpointRecord& record) {
  if (!Offered(record)) {
    return;
  }
  if (record.m_role == EndpointRole::kService) {
    m_services[record.m_service].push_back(&record);
    return;
  }
  for (const Replica& replica : record.m_replicas) {
    auto& index = replica.m_ready ? m_ready : m_loading;
    index[replica.m_served_name].push_back(&record);
  }
}

void EndpointTable::Unindex(const EndpointRecord& record) {
  Erase(m_services, record.m_service, &record);
  for (const Replica& replica : record.m_replicas) {
    Erase(m_ready, replica.m_served_name, &record);
    Erase(m_loading, replica.m_served_name, &record);
  }
}

void EndpointTable::Reindex() {
  m_ready.clear();
  m_loading.clear();
  m_services.clear();
  for (const auto& [id, record] : m_records) {
    Index(*record);
  }
}

}  // namespace hickoryloft::routing
