#include "fleet/departures.h"

namespace hickoryloft::fleet {

void Departures::Record(const EndpointId& endpoint,
                        std::int64_t started_at_ms,
                        const Departure& departure) {
  const auto [known, added] = m_entries.try_emplace(
      endpoint,
      Entry{.m_started_at_ms = started_at_ms, .m_departure = departure});
  if (added) {
    m_order.push_back(endpoint);
    if (m_order.size() > kMaxRecords) {
      m_entries.erase(m_order.front());
      m_order.pop_front();
    }
    return;
  }
  Entry& entry = known->second;
  if (started_at_ms < entry.m_started_at_ms) {
    return;
  }
  if (started_at_ms > entry.m_started_at_ms) {
    entry = {.m_started_at_ms = started_at_ms, .m_departure = departure};
    return;
  }
  Departure& recorded = entry.m_departure;
  if (!recorded.m_registered_after) {
    recorded.m_registered_after = departure.m_registered_after;
  }
  if (!recorded.m_notice) {
    recorded.m_notice = departure.m_notice;
  }
}

const Departure* Departures::Find(const EndpointId& endpoint,
                                  std::int64_t started_at_ms) const {
  const auto known = m_entries.find(endpoint);
  return known == m_entries.end() ||
                 known->second.m_started_at_ms != started_at_ms
             ? nullptr
             : &known->second.m_departure;
}

bool Departures::MayHaveFinished(const EndpointId& endpoint,
                                 std::int64_t started_at_ms,
                                 MonotonicTime at,
                                 Duration service_time) const {
  const Departure* departure = Find(endpoint, started_at_ms);
  if (departure == nullptr) {
    return false;
  }
  if (!departure->m_registered_after) {
    return !departure->m_notice;
  }
  const MonotonicTime since = *departure->m_registered_after;
  const bool withdrawn =
      departure->m_notice && at >= since + *departure->m_notice;
  return !withdrawn && at >= since + service_time;
}

}  // namespace hickoryloft::fleet
