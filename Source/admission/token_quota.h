// A client account's token rate, kept by all hosts together.

#ifndef SOURCE_ADMISSION_TOKEN_QUOTA_H_
#define SOURCE_ADMISSION_TOKEN_QUOTA_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace hickoryloft::admission {

struct QuotaLimit {
  double m_tokens_per_second = 0;  // 0: no limit.
  double m_burst_tokens = 0;
  friend bool operator==(const QuotaLimit&, const QuotaLimit&) = default;
};

// One host's copy of an account's bucket. Every host takes from its copy what
// it admits itself and, as reports arrive, what the others admitted, so all
// copies agree but for the age of the reports. Hosts that run but are not heard
// of are assumed to use an equal share of the rate and the burst each. Not
// thread-safe; the times given must not decrease.
class TokenQuota {
 public:
  // Part of the burst that a host may admit before the others should hear of
  // it: with ten hosts, less than half a burst is unknown at any time.
  static constexpr double kReportPart = 0.04;
  // Part of the burst that a new copy starts with: it cannot know what the
  // other hosts have admitted lately.
  static constexpr double kStartingLevel = 0.3;

  // A host that has not heard of the others for this long, as after a
  // suspension, starts its copy anew: what they admitted meanwhile was also
  // refilled meanwhile.
  static constexpr Duration kLongestGap = seconds(2);

  TokenQuota(const QuotaLimit& limit, MonotonicTime now);

  // Changes the limit. The level is cut to the new burst at once.
  void SetLimit(const QuotaLimit& limit, MonotonicTime now);
  const QuotaLimit& limit() const { return m_limit; }

  // Takes `tokens` if they are there. Returns nothing if they are taken, else
  // the time until they will be.
  std::optional<Duration> Take(double tokens, MonotonicTime now);
  // Returns tokens of a request that has not run and never will.
  void PutBack(double tokens, MonotonicTime now);

  // The other hosts have admitted `total` tokens since the start of `epoch`.
  // The first total of an epoch only sets a mark.
  void TakeOthers(std::uint64_t epoch, double total, MonotonicTime now);
  // From now on `silent` of `hosts` hosts, this one included, are not heard of.
  void SetSilence(std::size_t silent, std::size_t hosts, MonotonicTime now);

  // Returns what this host has admitted since its start, less what it put back,
  // for its reports.
  double admitted() const { return m_admitted; }
  // Whether it has admitted anything since its start.
  bool used() const { return m_used; }
  double Level(MonotonicTime now);

  // Whether the other hosts should be told of what this one has admitted
  // before the next regular report.
  bool ReportDue() const;
  // What has been admitted so far is on its way to the other hosts.
  void MarkReported() { m_reported = m_admitted; }

 private:
  void Refill(MonotonicTime now);
  // Returns the part of the burst that the hosts which are heard of may use.
  double Burst() const;

  QuotaLimit m_limit;
  double m_level;
  double m_admitted = 0;
  double m_reported = 0;
  bool m_used = false;
  MonotonicTime m_at;
  std::uint64_t m_epoch = 0;
  double m_others_total = 0;
  MonotonicTime m_others_at;
  double m_silent_part = 0;  // Of the rate, taken to be used by silent hosts.
};

}  // namespace hickoryloft::admission

#endif  // SOURCE_ADMISSION_TOKEN_QUOTA_H_
