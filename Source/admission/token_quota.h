// A client account's token rate, kept by all hosts together.

#ifndef SOURCE_ADMISSION_TOKEN_QUOTA_H_
#define SOURCE_ADMISSION_TOKEN_QUOTA_H_

#include <map>
#include <optional>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::admission {

struct QuotaLimit {
  double m_tokens_per_second = 0;  // 0: no limit.
  double m_burst_tokens = 0;
  friend bool operator==(const QuotaLimit&, const QuotaLimit&) = default;
};

// One host's copy of an account's bucket. Every host takes from its copy what
// it admits itself and, as reports arrive, what the others admitted, so all
// copies agree but for the age of the reports. A host that is known to run but
// whose reports are old is assumed to use an equal share of the rate. Not
// thread-safe; the times given must not decrease.
class TokenQuota {
 public:
  // A report older than this no longer tells what its host admits: a few
  // report intervals, and well below the window in which the rate is judged.
  static constexpr Duration kReportLife = milliseconds(700);
  // Part of the burst that a host may admit before the others should hear of
  // it: with ten hosts, less than half a burst is unknown at any time.
  static constexpr double kReportPart = 0.04;

  // Part of the burst that a new copy starts with: it cannot know what the
  // other hosts have admitted lately.
  static constexpr double kStartingLevel = 0.3;

  TokenQuota(const QuotaLimit& limit, MonotonicTime now);

  // Changes the limit. The level is cut to the new burst at once.
  void SetLimit(const QuotaLimit& limit, MonotonicTime now);
  const QuotaLimit& limit() const { return m_limit; }

  // Takes `tokens` if they are there. Returns nothing if they are taken, else
  // the time until they will be.
  std::optional<Duration> Take(double tokens, MonotonicTime now);

  // Returns tokens of a request that has not run and never will.
  void PutBack(double tokens, MonotonicTime now);

  // The host `peer` has admitted `total` tokens since its start `incarnation`.
  void TakeReport(const HostId& peer,
                  Incarnation incarnation,
                  double total,
                  MonotonicTime now);
  // Sets the hosts, besides this one, that may admit requests.
  void SetPeers(const std::map<HostId, Incarnation>& peers, MonotonicTime now);

  // Returns what this host has admitted since its start, less what it put back,
  // for its reports.
  double admitted() const { return m_admitted; }
  double Level(MonotonicTime now);

  // Whether the other hosts should be told of what this one has admitted
  // before the next regular report.
  bool ReportDue() const;
  // What has been admitted so far is on its way to the other hosts.
  void MarkReported() { m_reported = m_admitted; }

 private:
  struct Peer {
    Incarnation m_incarnation = 0;
    // The first total heard only sets a mark: it counts what was admitted before
    // this host began to keep a copy.
    bool m_heard_total = false;
    double m_total = 0;
    MonotonicTime m_heard_at;
    MonotonicTime m_charged_until;  // For silence, at an equal share.
    double m_charged = 0;           // For silence, since the last report.
  };

  void Refill(MonotonicTime now);
  void ChargeSilentPeers(MonotonicTime now);

  QuotaLimit m_limit;
  double m_level;
  double m_admitted = 0;
  double m_reported = 0;
  MonotonicTime m_at;
  std::map<HostId, Peer> m_peers;
};

}  // namespace hickoryloft::admission

#endif  // SOURCE_ADMISSION_TOKEN_QUOTA_H_
