#include "admission/token_quota.h"

#include <rapidcheck.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

using namespace hickoryloft;
using namespace hickoryloft::admission;

namespace {

constexpr QuotaLimit kLimit{.m_tokens_per_second = 50000,
                            .m_burst_tokens = 50000};
constexpr Duration kReportInterval = milliseconds(250);
constexpr Duration kUrgentInterval = milliseconds(20);
constexpr Duration kWindow = seconds(8);

// Hosts that exchange totals as in production: at a regular interval, and early
// when an account's usage is high.
class Fleet {
 public:
  explicit Fleet(std::size_t hosts, const QuotaLimit& limit = kLimit)
      : m_limit(limit),
        m_quotas(hosts, TokenQuota(limit, MonotonicTime{})),
        m_reported(hosts),
        m_cut(hosts, false),
        m_regular_at(hosts),
        m_urgent_at(hosts) {}

  void Ask(std::size_t host, double tokens) {
    if (!m_quotas[host].Take(tokens, m_now)) {
      m_admitted.emplace_back(m_now, tokens);
    }
  }

  void Advance(Duration step) {
    m_now += step;
    for (std::size_t host = 0; host < m_quotas.size(); ++host) {
      const bool urgent = m_quotas[host].ReportDue() &&
                          m_now - m_urgent_at[host] >= kUrgentInterval;
      if (urgent || m_now - m_regular_at[host] >= kReportInterval) {
        m_quotas[host].MarkReported();
        m_urgent_at[host] = m_now;
        m_regular_at[host] = m_now;
        m_reported[host] = m_quotas[host].admitted();
      }
    }
    for (std::size_t host = 0; host < m_quotas.size(); ++host) {
      DeliverReports(host);
    }
  }

  void SetCutOff(std::size_t host, bool cut) {
    m_cut[host] = cut;
    ++m_epochs;
  }

  // Returns the tokens admitted in the last window.
  double Used() {
    while (!m_admitted.empty() && m_admitted.front().first + kWindow < m_now) {
      m_admitted.pop_front();
    }
    double used = 0;
    for (const auto& [at, tokens] : m_admitted) {
      used += tokens;
    }
    return used;
  }

  void Partition(std::size_t first_of_rest) { m_partition_at = first_of_rest; }

  double Allowed() const {
    return (m_limit.m_tokens_per_second * ToSeconds(kWindow) +
            m_limit.m_burst_tokens) *
               1.1 +
           17000;
  }

 private:
  void DeliverReports(std::size_t host) {
    double others = 0;
    std::size_t silent = 0;
    for (std::size_t other = 0; other < m_quotas.size(); ++other) {
      if (other == host) {
        continue;
      }
      if (m_cut[host] || m_cut[other] ||
          (host < m_partition_at) != (other < m_partition_at)) {
        ++silent;
      } else {
        others += m_reported[other];
      }
    }
    m_quotas[host].RecordOthers(m_epochs, others, m_now);
    m_quotas[host].SetSilentHosts(silent, m_quotas.size(), m_now);
  }

  QuotaLimit m_limit;
  MonotonicTime m_now;
  std::vector<TokenQuota> m_quotas;
  std::vector<double> m_reported;
  std::vector<bool> m_cut;
  // Hosts before this index and the rest do not receive each other's reports.
  std::size_t m_partition_at = 0;
  std::vector<MonotonicTime> m_regular_at;
  std::vector<MonotonicTime> m_urgent_at;
  std::uint64_t m_epochs = 1;
  std::deque<std::pair<MonotonicTime, double>> m_admitted;
};

// Hosts whose reports take as long as those of real hosts do. With relays, a
// regular report waits for the next regular report of the host's relay.
class DelayedFleet {
 public:
  DelayedFleet(std::size_t hosts,
               bool relays,
               const QuotaLimit& limit,
               double request_tokens)
      : m_relays(relays),
        m_request(request_tokens),
        m_quotas(hosts, TokenQuota(limit, MonotonicTime{})),
        m_arrived(hosts),
        m_early_at(hosts),
        m_credit(hosts) {
    for (std::size_t host = 0; host < hosts; ++host) {
      // Hosts neither report nor are asked at the same moment.
      m_credit[host] = m_request * static_cast<double>(host * 5 % hosts) /
                       static_cast<double>(hosts);
    }
  }

  // Moves the time by kStep, and delivers and sends the reports due.
  void Advance() {
    m_now += kStep;
    DeliverReports();
    for (std::size_t host = 0; host < m_quotas.size(); ++host) {
      if (IsRegularStep(host * 7)) {
        SendReport(host, RegularArrival(host));
      } else if (m_quotas[host].ReportDue() &&
                 m_now - m_early_at[host] >= kUrgentInterval) {
        m_early_at[host] = m_now;
        SendReport(host, m_now + (m_relays ? 2 * kHop : kHop));
      }
    }
    m_window.push_back(0);
    if (m_window.size() > static_cast<std::size_t>(kWindow / kStep)) {
      m_window_sum -= m_window.front();
      m_window.pop_front();
    }
  }

  // Asks `host` for requests of `tokens_per_second` together during one step.
  void AskAtRate(std::size_t host, double tokens_per_second) {
    m_credit[host] += tokens_per_second * ToSeconds(kStep);
    while (m_credit[host] >= m_request) {
      m_credit[host] -= m_request;
      Ask(host, m_request);
    }
  }

  void Ask(std::size_t host, double tokens) {
    if (m_quotas[host].Take(tokens, m_now)) {
      ++m_refused;
      return;
    }
    m_window.back() += tokens;
    m_window_sum += tokens;
    m_greatest = std::max(m_greatest, m_window_sum);
  }

  std::size_t hosts() const { return m_quotas.size(); }
  int refused() const { return m_refused; }
  // Returns the tokens admitted in the last window.
  double used() const { return m_window_sum; }
  // Returns the most tokens admitted in any window.
  double greatest() const { return m_greatest; }

 private:
  static constexpr Duration kStep = milliseconds(10);
  static constexpr Duration kHop = milliseconds(50);
  static constexpr std::size_t kGroup = 8;  // Hosts that share a relay.

  struct Report {
    MonotonicTime m_arrives_at;
    std::size_t m_host;
    double m_total;
  };

  // `phase` is a number of steps.
  bool IsRegularStep(std::size_t phase) const {
    return (m_now + phase * kStep).time_since_epoch() % kReportInterval ==
           Duration::zero();
  }

  MonotonicTime RegularArrival(std::size_t host) const {
    if (!m_relays) {
      return m_now + kHop;
    }
    const auto phase = (host / kGroup * 3 * kStep) % kReportInterval;
    const auto at_relay = m_now + kHop + phase;
    const auto waited = at_relay.time_since_epoch() % kReportInterval;
    return m_now + kHop + (kReportInterval - waited) + kHop;
  }

  void SendReport(std::size_t host, MonotonicTime arrives_at) {
    m_quotas[host].MarkReported();
    m_on_way.push_back({arrives_at, host, m_quotas[host].admitted()});
  }

  void DeliverReports() {
    bool any = false;
    std::erase_if(m_on_way, [&](const Report& report) {
      if (report.m_arrives_at > m_now) {
        return false;
      }
      double& arrived = m_arrived[report.m_host];
      arrived = std::max(arrived, report.m_total);
      any = true;
      return true;
    });
    if (!any) {
      return;
    }
    double sum = 0;
    for (const double arrived : m_arrived) {
      sum += arrived;
    }
    for (std::size_t host = 0; host < m_quotas.size(); ++host) {
      m_quotas[host].RecordOthers(1, sum - m_arrived[host], m_now);
      m_quotas[host].SetSilentHosts(0, m_quotas.size(), m_now);
    }
  }

  bool m_relays;
  double m_request;  // Tokens.
  MonotonicTime m_now{seconds(1)};
  std::vector<TokenQuota> m_quotas;
  std::vector<double> m_arrived;
  std::vector<Report> m_on_way;
  std::vector<MonotonicTime> m_early_at;
  // Tokens that a host is still to be asked for.
  std::vector<double> m_credit;
  std::deque<double> m_window;
  double m_window_sum = 0;
  double m_greatest = 0;
  int m_refused = 0;
};

// Returns a fleet whose buckets are full. More than 7 hosts report through
// relays.
DelayedFleet FullFleet(std::size_t hosts,
                       const QuotaLimit& limit,
                       double request_tokens = 500) {
  DelayedFleet fleet(hosts, /*relays=*/hosts > 7, limit, request_tokens);
  for (int step = 0; step < 300; ++step) {
    fleet.Advance();
  }
  return fleet;
}

QuotaLimit LimitWithBurst(double seconds_of_rate) {
  return {.m_tokens_per_second = kLimit.m_tokens_per_second,
          .m_burst_tokens = kLimit.m_tokens_per_second * seconds_of_rate};
}

}  // namespace

// One account sends nine times its usual load to all hosts at once. Without
// early reports each host admits from a full bucket for a whole report
// interval.
TEST_CASE("An account that asks for much more than its rate gets its rate") {
  Fleet fleet(7);
  double used = 0;
  for (int step = 0; step < 2000; ++step) {
    fleet.Advance(milliseconds(10));
    for (std::size_t host = 0; host < 7; ++host) {
      fleet.Ask(host, 500);  // 350,000 tokens a second.
    }
    used = fleet.Used();
    REQUIRE(used <= fleet.Allowed());
  }
  CHECK(used >= 0.95 * kLimit.m_tokens_per_second * ToSeconds(kWindow));
}

TEST_CASE("An account within its rate is not refused, whichever host it asks") {
  Fleet fleet(8);
  double asked = 0;
  for (int step = 0; step < 1000; ++step) {
    fleet.Advance(milliseconds(10));
    // All requests go to one host, like from a load balancer that hashes a few
    // callers.
    fleet.Ask(3, 450);
    asked += step >= 200 ? 450 : 0;
  }
  CHECK(fleet.Used() == Approx(asked).epsilon(0.01));
}

TEST_CASE("Hosts without each other's reports keep to the rate together") {
  CHECK(rc::check("used within a window", [] {
    Fleet fleet(7);
    const auto cut_host = *rc::gen::inRange<std::size_t>(0, 7);
    const auto cut_from = *rc::gen::inRange(100, 900);
    const auto cut_until = *rc::gen::inRange(cut_from, 1200);
    for (int step = 0; step < 1400; ++step) {
      if (step == cut_from || step == cut_until) {
        fleet.SetCutOff(cut_host, step == cut_from && cut_from != cut_until);
      }
      fleet.Advance(milliseconds(10));
      for (std::size_t host = 0; host < 7; ++host) {
        fleet.Ask(host, 300);
      }
      RC_ASSERT(fleet.Used() <= fleet.Allowed());
    }
  }));
}

// Seen in the run QUOTA on swt-visits-grown scale-2: a third of the hosts were
// partitioned from the rest while an account asked for many times its usual
// load, and each side admitted the whole burst.
TEST_CASE("The two sides of a network partition share the burst") {
  Fleet fleet(12, {.m_tokens_per_second = 126000, .m_burst_tokens = 252000});
  for (int step = 0; step < 200; ++step) {
    fleet.Advance(milliseconds(10));  // The bucket is full.
  }
  fleet.Partition(4);
  for (int step = 0; step < 1200; ++step) {
    fleet.Advance(milliseconds(10));
    for (std::size_t host = 0; host < 12 && step >= 100; ++host) {
      fleet.Ask(host, 2000);
    }
    REQUIRE(fleet.Used() <= fleet.Allowed());
  }
}

TEST_CASE("The tokens of a request that never ran are put back") {
  MonotonicTime now;
  TokenQuota quota(kLimit, now);
  const double before = quota.Level(now);
  REQUIRE_FALSE(quota.Take(1000, now));
  quota.PutBack(1000, now);
  CHECK(quota.Level(now) == Approx(before));
  CHECK(quota.admitted() == 0);
}

TEST_CASE("A refusal returns the time until enough tokens are available") {
  MonotonicTime now;
  TokenQuota quota({.m_tokens_per_second = 1000, .m_burst_tokens = 1000}, now);
  const auto wait = quota.Take(800, now);
  REQUIRE(wait);
  CHECK_FALSE(quota.Take(800, now + *wait + milliseconds(1)));
}

// Guards against an incident at jarro-ne: a host was suspended for six seconds,
// then subtracted at once all that the others had admitted meanwhile, and
// refused accounts within their rate.
TEST_CASE(
    "A host that was suspended does not subtract tokens refilled meanwhile") {
  MonotonicTime now{seconds(1)};
  TokenQuota quota(kLimit, now);
  double others = 0;
  quota.RecordOthers(1, others, now);
  for (int i = 0; i < 8; ++i) {
    now += milliseconds(250);
    others += 0.125 * kLimit.m_tokens_per_second;  // Half the rate.
    quota.RecordOthers(1, others, now);
  }
  now += seconds(6);
  others += 3 * kLimit.m_tokens_per_second;
  quota.RecordOthers(1, others, now);
  CHECK_FALSE(quota.Take(1000, now));
}

// Seen on the day hot-tenant-cuts: what all hosts admit before they hear of
// each other went beyond the rate again and again, not only at the start.
TEST_CASE("Late reports do not let an account exceed the bound of its rate") {
  const auto hosts = GENERATE(as<std::size_t>{}, 7, 12, 63);
  const QuotaLimit limit = LimitWithBurst(GENERATE(1.0, 2.0));
  CAPTURE(hosts, limit.m_burst_tokens);
  DelayedFleet fleet = FullFleet(hosts, limit);
  const double asked =
      10 * limit.m_tokens_per_second / static_cast<double>(hosts);
  for (int step = 0; step < 4000; ++step) {
    fleet.Advance();
    for (std::size_t host = 0; host < hosts; ++host) {
      fleet.AskAtRate(host, asked);
    }
  }
  const double rate_in_window = limit.m_tokens_per_second * ToSeconds(kWindow);
  CHECK(fleet.greatest() <= (rate_in_window + limit.m_burst_tokens) * 1.1);
  CHECK(fleet.used() >= 0.95 * rate_in_window);
}

TEST_CASE("An account of a single host gets its burst at once and its rate") {
  const auto hosts = GENERATE(as<std::size_t>{}, 7, 63);
  const QuotaLimit limit = LimitWithBurst(GENERATE(1.0, 2.0));
  CAPTURE(hosts, limit.m_burst_tokens);
  DelayedFleet fleet = FullFleet(hosts, limit);
  fleet.Advance();
  for (int request = 0; request < 100; ++request) {
    fleet.Ask(3, limit.m_burst_tokens / 100);
  }
  CHECK(fleet.refused() == 0);
  for (int step = 0; step < 2000; ++step) {
    fleet.Advance();
    fleet.AskAtRate(3, 10 * limit.m_tokens_per_second);
  }
  CHECK(fleet.used() >= 0.95 * limit.m_tokens_per_second * ToSeconds(kWindow));
}

TEST_CASE("An account at half of its rate is not refused at any host") {
  const auto hosts = GENERATE(as<std::size_t>{}, 7, 63);
  const QuotaLimit limit = LimitWithBurst(GENERATE(1.0, 2.0));
  // Steps after which all requests go to another host; 0: to all evenly.
  const int moves_after = GENERATE(0, 1, 30, 300);
  const double request = limit.m_burst_tokens * GENERATE(0.01, 0.3, 0.6);
  CAPTURE(hosts, limit.m_burst_tokens, moves_after, request);
  DelayedFleet fleet = FullFleet(hosts, limit, request);
  const double asked = limit.m_tokens_per_second / 2;
  double credit = 0;
  for (int step = 0; step < 3000; ++step) {
    fleet.Advance();
    if (moves_after == 0) {
      for (std::size_t host = 0; host < hosts; ++host) {
        fleet.AskAtRate(host, asked / static_cast<double>(hosts));
      }
      continue;
    }
    credit += asked / 100;  // A step is 10 ms.
    if (credit >= request) {
      credit -= request;
      fleet.Ask(static_cast<std::size_t>(step / moves_after) % hosts, request);
    }
  }
  CHECK(fleet.refused() == 0);
}

// Few requests, each a sixth of the burst, by chance close together: the bucket
// is seldom full, but it is never empty.
TEST_CASE("An account at half of its rate is not refused for random arrivals") {
  const auto hosts = GENERATE(as<std::size_t>{}, 7, 12, 63);
  const unsigned seed = GENERATE(1u, 2u, 3u, 4u);
  CAPTURE(hosts, seed);
  const QuotaLimit limit = LimitWithBurst(1);
  const double request = 0.16 * limit.m_burst_tokens;
  DelayedFleet fleet = FullFleet(hosts, limit, request);
  std::mt19937 random(seed);
  // Requests per step of 10 ms.
  std::poisson_distribution<int> arrivals(limit.m_tokens_per_second / 2 / 100 /
                                          request);
  for (int step = 0; step < 2000; ++step) {
    fleet.Advance();
    for (int left = arrivals(random); left > 0; --left) {
      fleet.Ask(random() % hosts, request);
    }
  }
  CHECK(fleet.refused() == 0);
}

TEST_CASE("A full bucket admits the whole burst at once after use elsewhere") {
  const auto hosts = GENERATE(as<std::size_t>{}, 7, 63);
  const QuotaLimit limit = LimitWithBurst(2);
  DelayedFleet fleet = FullFleet(hosts, limit);
  for (int step = 0; step < 1000; ++step) {
    fleet.Advance();
    for (std::size_t host = 0; host < hosts && step < 500; ++host) {
      fleet.AskAtRate(
          host, limit.m_tokens_per_second / 2 / static_cast<double>(hosts));
    }
  }
  fleet.Ask(3, limit.m_burst_tokens);
  CHECK(fleet.refused() == 0);
}
