#include "membership/kept_registrations.h"

#include <iterator>
#include <tuple>

#include "base/log.h"

namespace hickoryloft::membership {

namespace {

const Logger kLog("members");

}  // namespace

bool KeptRegistrations::Entry::Supersedes(const Entry& other) const {
  return std::tuple(!m_kept_until, m_revision) >
         std::tuple(!other.m_kept_until, other.m_revision);
}

bool KeptRegistrations::Update(
    const std::map<std::string, keyvalue::KeyValue>& keys,
    std::optional<MonotonicTime> keep_until) {
  bool changed = RemoveMissing(keys, keep_until);
  for (auto item = keys.lower_bound(m_prefix);
       item != keys.end() && item->first.starts_with(m_prefix); ++item) {
    Entry& entry = m_entries[item->first];
    if (entry.m_revision != item->second.m_mod_revision || entry.m_kept_until) {
      entry = {.m_revision = item->second.m_mod_revision,
               .m_value = item->second.m_value};
      changed = true;
    }
  }
  return changed;
}

bool KeptRegistrations::RemoveMissing(
    const std::map<std::string, keyvalue::KeyValue>& keys,
    std::optional<MonotonicTime> keep_until) {
  const std::size_t before = m_entries.size();
  for (auto at = m_entries.begin(); at != m_entries.end();) {
    auto& [key, entry] = *at;
    const bool missing = !keys.contains(key);
    if (missing && keep_until && !entry.m_kept_until) {
      kLog.Info("host registration lapsed; kept for a grace period",
                {{"key", key}});
      entry.m_kept_until = keep_until;
    }
    at = missing && !entry.m_kept_until ? m_entries.erase(at) : std::next(at);
  }
  return m_entries.size() < before;
}

bool KeptRegistrations::RemoveLapsed(MonotonicTime now) {
  return std::erase_if(m_entries, [now](const auto& item) {
           const auto& kept_until = item.second.m_kept_until;
           return kept_until && now >= *kept_until;
         }) > 0;
}

}  // namespace hickoryloft::membership
