#include "keyvalue/memory_store.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/error.h"

namespace hickoryloft::keyvalue {

namespace {

Error NoSuchLease(LeaseId lease) {
  return {ErrorCode::kNotFound,
          "lease " + std::to_string(lease) + " does not exist"};
}

}  // namespace

std::optional<KeyValue> MemoryStore::Get(const std::string& key) const {
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  return found->second.m_item;
}

std::vector<KeyValue> MemoryStore::GetRange(const std::string& first,
                                            const std::string& end) const {
  std::vector<KeyValue> items;
  const auto last = end.empty() ? m_entries.end() : m_entries.lower_bound(end);
  for (auto at = m_entries.lower_bound(first); at != last; ++at) {
    items.push_back(at->second.m_item);
  }
  return items;
}

std::vector<KeyValue> MemoryStore::GetPrefix(const std::string& prefix) const {
  return GetRange(prefix, PrefixEnd(prefix));
}

std::int64_t MemoryStore::VersionOf(const std::string& key) const {
  const auto found = m_entries.find(key);
  return found == m_entries.end() ? 0 : found->second.m_version;
}

void MemoryStore::Put(const std::string& key,
                      const std::string& value,
                      LeaseId lease) {
  if (lease != 0 && !m_leases.contains(lease)) {
    throw NoSuchLease(lease);
  }
  ++m_revision;
  Entry& entry = m_entries[key];
  Unbind(key, entry.m_item.m_lease);
  if (lease != 0) {
    m_leases.at(lease).m_keys.insert(key);
  }
  const bool created = entry.m_version == 0;
  entry.m_item = {.m_key = key,
                  .m_value = value,
                  .m_create_revision =
                      created ? m_revision : entry.m_item.m_create_revision,
                  .m_mod_revision = m_revision,
                  .m_lease = lease};
  ++entry.m_version;
  RecordEvent({.m_deleted = false, .m_item = entry.m_item});
}

bool MemoryStore::Delete(const std::string& key) {
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    return false;
  }
  ++m_revision;
  Unbind(key, found->second.m_item.m_lease);
  m_entries.erase(found);
  RecordEvent({.m_deleted = true,
               .m_item = {.m_key = key, .m_mod_revision = m_revision}});
  return true;
}

SwapReply MemoryStore::Swap(const CompareAndSwap& operation) {
  const std::optional<KeyValue> current = Get(operation.m_key);
  const Revision actual = current ? current->m_mod_revision : 0;
  if (actual != operation.m_expected_revision) {
    return {.m_swapped = false, .m_revision = m_revision, .m_current = current};
  }
  if (operation.m_value) {
    Put(operation.m_key, *operation.m_value, operation.m_lease);
  } else {
    Delete(operation.m_key);
  }
  return {.m_swapped = true, .m_revision = m_revision};
}

LeaseReply MemoryStore::Grant(Duration ttl, MonotonicTime now) {
  const LeaseId lease = ++m_last_lease;
  m_leases[lease] = {.m_ttl = ttl, .m_expires_at = now + ttl};
  return {.m_lease = lease, .m_ttl = ttl, .m_revision = m_revision};
}

LeaseReply MemoryStore::KeepAlive(LeaseId lease, MonotonicTime now) {
  const auto found = m_leases.find(lease);
  if (found == m_leases.end()) {
    throw NoSuchLease(lease);
  }
  found->second.m_expires_at = now + found->second.m_ttl;
  return {
      .m_lease = lease, .m_ttl = found->second.m_ttl, .m_revision = m_revision};
}

void MemoryStore::Revoke(LeaseId lease) {
  const auto found = m_leases.find(lease);
  if (found == m_leases.end()) {
    throw NoSuchLease(lease);
  }
  EndLease(found);
}

void MemoryStore::Expire(MonotonicTime now) {
  for (auto at = m_leases.begin(); at != m_leases.end();) {
    const auto next = std::next(at);
    if (at->second.m_expires_at <= now) {
      EndLease(at);
    }
    at = next;
  }
}

std::optional<MonotonicTime> MemoryStore::NextExpiry() const {
  std::optional<MonotonicTime> earliest;
  for (const auto& [id, lease] : m_leases) {
    if (!earliest || lease.m_expires_at < *earliest) {
      earliest = lease.m_expires_at;
    }
  }
  return earliest;
}

std::vector<WatchEvent> MemoryStore::EventsAfter(const std::string& prefix,
                                                 Revision revision) const {
  if (revision < m_history_start) {
    throw Error(ErrorCode::kNotFound, "the history starts after revision " +
                                          std::to_string(m_history_start));
  }
  // The history is in order of revisions.
  auto at = std::upper_bound(m_history.begin(), m_history.end(), revision,
                             [](Revision wanted, const WatchEvent& event) {
                               return wanted < event.m_item.m_mod_revision;
                             });
  std::vector<WatchEvent> events;
  std::copy_if(at, m_history.end(), std::back_inserter(events),
               [&](const WatchEvent& event) {
                 return event.m_item.m_key.starts_with(prefix);
               });
  return events;
}

void MemoryStore::Unbind(const std::string& key, LeaseId lease) {
  if (const auto found = m_leases.find(lease); found != m_leases.end()) {
    found->second.m_keys.erase(key);
  }
}

void MemoryStore::RecordEvent(WatchEvent event) {
  m_history.push_back(std::move(event));
  if (m_history.size() > m_max_history) {
    m_history_start = m_history.front().m_item.m_mod_revision;
    m_history.pop_front();
  }
}

void MemoryStore::EndLease(std::map<LeaseId, Lease>::iterator lease) {
  const std::set<std::string> keys = std::move(lease->second.m_keys);
  m_leases.erase(lease);
  for (const std::string& key : keys) {
    Delete(key);
  }
}

std::string PrefixEnd(const std::string& prefix) {
  constexpr char kLastByte = '\xff';
  std::string end = prefix;
  while (!end.empty() && end.back() == kLastByte) {
    end.pop_back();
  }
  if (!end.empty()) {
    ++end.back();
  }
  return end;
}

}  // namespace hickoryloft::keyvalue
