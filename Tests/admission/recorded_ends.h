// The ends of endpoints that the hosts of a fleet have recorded.

#ifndef TESTS_ADMISSION_RECORDED_ENDS_H_
#define TESTS_ADMISSION_RECORDED_ENDS_H_

#include <string>
#include <utility>
#include <vector>

#include "admission/crashing_parts.h"
#include "base/history.h"

namespace hickoryloft::admission {

// The records of a fleet and the object of one host that reads them. Not
// thread-safe.
class RecordedEnds {
 public:
  MonotonicTime m_now{seconds(100)};
  CrashRecords m_records;
  CrashingParts m_parts;

  void Pass(Duration time) { m_now += time; }

  void EndEndpoint(const std::string& endpoint,
                   const std::vector<std::string>& parts,
                   const std::string& host = "h1") {
    EndpointEnd end{
        .m_incarnation = endpoint,
        .m_seen_by = HostId(host),
        .m_at = duration_cast<milliseconds>(m_now.time_since_epoch()),
        .m_revision = ++m_revision};
    for (const std::string& part : parts) {
      end.m_parts.push_back(
          {.m_id = part, .m_depth = static_cast<int>(end.m_parts.size())});
    }
    m_records.m_ends.push_back(end);
    m_parts.SetRecords(m_records, m_now);
  }
  void Prove(const std::string& part) {
    m_records.m_sound[part] = ++m_revision;
    m_parts.SetRecords(m_records, m_now);
  }
  // The store comes back from a copy: `records` as they were then.
  void Restore(CrashRecords records) {
    for (EndpointEnd& end : records.m_ends) {
      end.m_revision = InEra(1, end.m_revision);
    }
    for (auto& [part, revision] : records.m_sound) {
      revision = InEra(1, revision);
    }
    for (auto& [part, revision] : records.m_held) {
      revision = InEra(1, revision);
    }
    m_records = std::move(records);
    m_parts.SetRecords(m_records, m_now);
  }
  void RecordHeld(const std::string& part) {
    m_records.m_held[part] = ++m_revision;
    m_parts.SetRecords(m_records, m_now);
  }
  std::vector<std::string> FindCrashing() {
    std::vector<std::string> names;
    for (const auto& finding : m_parts.FindCrashing(m_now)) {
      names.push_back(finding.m_part);
    }
    return names;
  }
  std::vector<std::string> SettleAndFind() {
    Pass(CrashingParts::kSettleTime);
    return FindCrashing();
  }

  Revision m_revision = 0;
};

}  // namespace hickoryloft::admission

#endif  // TESTS_ADMISSION_RECORDED_ENDS_H_
