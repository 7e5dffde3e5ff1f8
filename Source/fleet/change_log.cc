#include "fleet/change_log.h"

#include <algorithm>

namespace hickoryloft::fleet {

std::size_t ChangeLog::SizeOf(const keyvalue::WatchEvent& event) {
  return event.m_item.m_key.size() + event.m_item.m_value.size();
}

void ChangeLog::Append(Revision from, const keyvalue::WatchBatch& batch) {
  if (from != m_position) {
    m_events.clear();
    m_bytes = 0;
    m_start = from;
  }
  m_position = std::max(from, batch.m_revision);
  for (const keyvalue::WatchEvent& event : batch.m_events) {
    if (event.m_item.m_mod_revision <= from) {
      continue;  // Already received through another host.
    }
    m_events.push_back(event);
    m_bytes += SizeOf(event);
  }
  while (m_bytes > kMaxBytes) {
    // Changes of one revision are removed together.
    m_start = m_events.front().m_item.m_mod_revision;
    while (!m_events.empty() &&
           m_events.front().m_item.m_mod_revision <= m_start) {
      m_bytes -= SizeOf(m_events.front());
      m_events.pop_front();
    }
  }
}

std::optional<ChangeSpan> ChangeLog::Since(Revision known) const {
  if (known >= m_position || known < m_start) {
    return std::nullopt;
  }
  ChangeSpan span{.m_from = known, .m_to = m_position};
  for (const keyvalue::WatchEvent& event : m_events) {
    const Revision revision = event.m_item.m_mod_revision;
    if (revision <= known) {
      continue;
    }
    if (event.m_item.m_value.size() > kMaxValueBytes) {
      span.m_to = std::max(known, revision - 1);
      std::erase_if(span.m_events, [&](const keyvalue::WatchEvent& added) {
        return added.m_item.m_mod_revision >= revision;
      });
      span.m_read_from_service = true;
      break;
    }
    span.m_events.push_back(event);
  }
  return span;
}

}  // namespace hickoryloft::fleet
