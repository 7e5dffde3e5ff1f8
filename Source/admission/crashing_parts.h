// Finds the prompt parts and the requests that crash endpoints, from the ends
// of endpoints that all hosts recorded.

#ifndef SOURCE_ADMISSION_CRASHING_PARTS_H_
#define SOURCE_ADMISSION_CRASHING_PARTS_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/history.h"
#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::admission {

// What a request may have in common with others that crashed endpoints: a part
// of its prompt, or its fingerprint, which its repeats share.
struct PartInUse {
  std::string m_id;
  // Position in the prompt, from 0.
  int m_depth = 0;
};

// The end of an endpoint as one host recorded it.
struct EndpointEnd {
  std::string m_incarnation;  // Names the endpoint and its start.
  HostId m_seen_by;
  std::chrono::milliseconds m_at{};  // Unix time.
  Revision m_revision = 0;           // Of the record.
  std::vector<PartInUse> m_parts;
};

// The records of the fleet, as the key-value service holds them.
struct CrashRecords {
  std::vector<EndpointEnd> m_ends;
  // For each part that was proved sound, the revision of the last proof.
  std::map<std::string, Revision> m_sound;
  // For each part that a host held, the revision of that record.
  std::map<std::string, Revision> m_held;
};

// A part is held once several endpoints have ended with it in use and none has
// completed an answer with it since. An end that a held prompt part explains is
// not counted against other parts. Ends that one request or two explain do not
// suffice against the parts of their prompts: holding the requests costs less.
// Hosts with equal records hold the same parts. Not thread-safe; the times
// passed in must not decrease.
class CrashingParts {
 public:
  // Ends of endpoints after which a prompt part is held.
  static constexpr std::size_t kMinEnds = 4;
  // Ends after which a request is held. Fewer, because few requests are in use
  // at the ends of several endpoints by chance.
  static constexpr std::size_t kMinRequestEnds = 3;
  // Ends after which a part is suspected.
  static constexpr std::size_t kSuspectEnds = 2;
  // Requests that are needed to explain the ends of a prompt part that is held.
  static constexpr std::size_t kMinRequests = 3;
  // Least time between the first and the last of these ends. The endpoints of
  // a failure domain may all end at the same moment for another reason. The
  // repeats of one request follow each other faster.
  static constexpr Duration kMinSpread = seconds(1);
  static constexpr Duration kMinRequestSpread = milliseconds(100);
  // Time that the records of the other hosts, and proofs that a part is sound,
  // are given to arrive before a part is held.
  static constexpr Duration kSettleTime = milliseconds(500);

  struct Finding {
    std::string m_part;
    std::size_t m_ends = 0;
    std::set<HostId> m_seen_by;
  };

  // Replaces the records.
  void SetRecords(CrashRecords records, MonotonicTime now);

  // Returns the parts that are held from now on and were not before, and those
  // whose record may be lost.
  std::vector<Finding> FindCrashing(MonotonicTime now);
  // Returns whether a part waits for the end of its settling time.
  bool settling() const { return !m_reached.empty(); }

  bool Held(const std::string& part) const { return m_held.contains(part); }
  const std::set<std::string>& held() const { return m_held; }
  // Returns the number of unexplained ends of endpoints with `part` in use
  // since it was last proved sound.
  std::size_t Ends(const std::string& part) const;

 private:
  struct Evidence {
    std::set<std::string> m_incarnations;
    bool m_fingerprint = false;
    // Whether fewer than kMinRequests requests were in use at all of these
    // ends.
    bool m_few_requests = false;
    std::set<HostId> m_seen_by;
    std::chrono::milliseconds m_first{};
    std::chrono::milliseconds m_last{};
    int m_depth = 0;
  };

  struct Found {
    Finding m_finding;
    Revision m_revision = 0;  // Later proofs release the part.
    bool m_lost = false;      // To be recorded again.
  };

  // Returns the incarnations that ended with a held prompt part in use.
  std::set<std::string> ExplainedByParts() const;
  // Marks the prompt parts whose ends few requests explain.
  void MarkFewRequests();
  // Returns what is to be held first, of the parts that have settled: the
  // prompt part with most evidence, or all requests if there is none.
  std::vector<std::string> WorstSettled(MonotonicTime now) const;
  // Returns whether `part` was proved sound after `revision`.
  bool SoundSince(const std::string& part, Revision revision) const;
  // Returns whether a record says that `part` is held, and no later proof
  // releases it.
  bool HeldByRecord(const std::string& part) const;
  // Returns the revision of the newest record.
  Revision NewestRecord() const;
  // Drops the parts that are no longer held, and counts the ends of the others.
  void Count();
  static bool Suffices(const Evidence& evidence);

  CrashRecords m_records;
  Era m_era = 0;  // Of the newest record.
  std::set<std::string> m_held;
  // Parts that this object found and that are not in the records yet.
  std::map<std::string, Found> m_found;
  std::map<std::string, Evidence> m_evidence;
  // Parts with sufficient evidence, and since when.
  std::map<std::string, MonotonicTime> m_reached;
};

}  // namespace hickoryloft::admission

#endif  // SOURCE_ADMISSION_CRASHING_PARTS_H_
