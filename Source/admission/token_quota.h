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
// equal share of the rate and the burst. What the others have admitted but not
// yet reported is predicted from what this host admits, so that the copies do
// not all spend the same tokens before they hear of each other. Not
// thread-safe; the times passed in must not decrease.
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

  // Time constant of the sums that the ratio of the others' tokens to this
  // host's is taken from: a few reports long, so that it is not all noise.
  static constexpr Duration kRatioTime = seconds(2);
  // Time constant after which a prediction that no report confirms is dropped:
  // longer than a regular report takes through two relays.
  static constexpr Duration kPredictionTime = seconds(1);
  // Predictions count for this long after the level alone last refused a
  // request, so that an account that the reports never show to be beyond its
  // rate is not refused because of a guess.
  static constexpr Duration kPredictAfterEmpty = seconds(5);
  // Fraction of the burst from which on the level alone decides, so that an
  // account whose bucket is filling up is not refused because of a guess.
  static constexpr double kCertainFraction = 0.35;

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
  // Lets the recent sums and the prediction decay.
  void Decay(MonotonicTime now);
  // Returns the tokens that the others are assumed to admit while this host
  // admits `tokens`: none if the others' recent share is unknown.
  double PredictOthers(double tokens) const;
  // Returns the level from which on `tokens` are admitted.
  double NeededLevel(double tokens, MonotonicTime now) const;

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
  // The hosts that are not silent, other than this one.
  double m_other_hosts = 0;
  // Tokens of this host and reported tokens of the others, with less weight the
  // older they are.
  double m_recent_own = 0;
  double m_recent_others = 0;
  // Tokens that the others are assumed to have admitted and not yet reported.
  double m_predicted = 0;
  MonotonicTime m_decayed_at;
  // When the level alone last refused a request.
  std::optional<MonotonicTime> m_empty_at;
};

}  // namespace hickoryloft::admission

#endif  // SOURCE_ADMISSION_TOKEN_QUOTA_H_
