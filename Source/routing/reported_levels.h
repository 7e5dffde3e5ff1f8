// Sums of levels that groups of hosts report.

#ifndef SOURCE_ROUTING_REPORTED_LEVELS_H_
#define SOURCE_ROUTING_REPORTED_LEVELS_H_

#include <map>
#include <utility>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::routing {

// Each report replaces the reporter's previous one. A silent reporter's levels
// count as zero. Not thread-safe; the times passed in must not decrease.
template <typename Key>
class ReportedLevels {
 public:
  using Levels = std::map<Key, int>;

  // A reporter without a report for this long, a few report intervals, is
  // silent.
  static constexpr Duration kReportTimeout = milliseconds(1500);

  void SetLevels(const HostId& reporter, Levels levels, MonotonicTime now) {
    Report& report = m_reports[reporter];
    Add(report.m_levels, -1);
    Add(levels, 1);
    report = {.m_received_at = now, .m_levels = std::move(levels)};
  }

  void Expire(MonotonicTime now) {
    std::erase_if(m_reports, [&](const auto& entry) {
      if (now - entry.second.m_received_at <= kReportTimeout) {
        return false;
      }
      Add(entry.second.m_levels, -1);
      return true;
    });
  }

  int Total(const Key& key) const {
    const auto total = m_totals.find(key);
    return total == m_totals.end() ? 0 : total->second;
  }
  // Returns the sums over all reporters. Keys whose sum is zero are absent.
  const Levels& totals() const { return m_totals; }

 private:
  struct Report {
    MonotonicTime m_received_at;
    Levels m_levels;
  };

  void Add(const Levels& levels, int sign) {
    for (const auto& [key, level] : levels) {
      const auto total = m_totals.try_emplace(key, 0).first;
      if ((total->second += sign * level) == 0) {
        m_totals.erase(total);
      }
    }
  }

  std::map<HostId, Report> m_reports;
  Levels m_totals;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_REPORTED_LEVELS_H_
