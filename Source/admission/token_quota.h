// Rate limit of a client account in tokens, enforced by all hosts together.

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

// One host's copy of an account's token bucket. Each host subtracts from its
// copy what it admits itself and, as reports arrive, what the others admitted,
// so the copies differ only by the delay of the reports. Each silent host,
// which is registered but whose reports do not arrive, is assumed to use an
// equal share of the rate and the burst. Not thread-safe; the times passed in
// must not decrease.
class TokenQuota {
 public:
  // Fraction of the burst that a host may admit before it should report early:
  // with ten hosts, less than half a burst is unreported at any time.
  static constexpr double kEarlyReportFraction = 0.04;
  // Fraction of the burst that a new copy starts with, since the recent
  // admissions of the other hosts are unknown.
  static constexpr double kInitialFraction = 0.3;

  // If no report of the others arrives for this long, for example because this
  // host was suspended, the next report only caps the level at kInitialFraction
  // of the burst: the tokens admitted in the gap were also refilled in it.
  static constexpr Duration kMaxReportGap = seconds(2);

  TokenQuota(const QuotaLimit& limit, MonotonicTime now);

  // Changes the limit. The level is capped at the new burst immediately.
  void SetLimit(const QuotaLimit& limit, MonotonicTime now);
  const QuotaLimit& limit() const { return m_limit; }

  // Takes `tokens` if the level allows. Returns nothing on success, else the
  // time until there will be enough tokens.
  std::optional<Duration> Take(double tokens, MonotonicTime now);
  // Returns the tokens of a request that never ran and will not run.
  void PutBack(double tokens, MonotonicTime now);

  // Records that the other hosts have admitted `total` tokens since the start
  // of `epoch`. The first total of an epoch only sets the baseline.
  void RecordOthers(std::uint64_t epoch, double total, MonotonicTime now);
  // Sets the number of silent hosts; `hosts` is the number of all hosts, this
  // one included.
  void SetSilentHosts(std::size_t silent, std::size_t hosts, MonotonicTime now);

  // Returns the tokens that this host has admitted since its start, minus those
  // put back, for its reports.
  double admitted() const { return m_admitted; }
  // Returns whether this host has admitted anything since its start.
  bool used() const { return m_used; }
  double Level(MonotonicTime now);

  // Returns whether this host has admitted so much since its last report that
  // it should report before the next regular report.
  bool ReportDue() const;
  // Records that a report with everything admitted so far was sent.
  void MarkReported() { m_reported = m_admitted; }

 private:
  void Refill(MonotonicTime now);
  // Returns the share of the burst of the hosts that are not silent.
  double Burst() const;

  QuotaLimit m_limit;
  double m_level;
  double m_admitted = 0;
  double m_reported = 0;
  bool m_used = false;
  MonotonicTime m_refilled_at;
  std::uint64_t m_epoch = 0;
  double m_others_total = 0;
  MonotonicTime m_others_at;
  // Fraction of the rate and the burst reserved for silent hosts.
  double m_silent_fraction = 0;
};

}  // namespace hickoryloft::admission

#endif  // SOURCE_ADMISSION_TOKEN_QUOTA_H_
