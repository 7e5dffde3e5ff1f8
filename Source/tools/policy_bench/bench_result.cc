#include "tools/policy_bench/bench_result.h"

#include <algorithm>
#include <cmath>

namespace hickoryloft::tools {
namespace {

constexpr double kSecondsPerHour = 3600;
constexpr Duration kImmediateRefusalLimit = milliseconds(10);
constexpr double kRetryTolerance = 0.25;
constexpr double kTailProbability = 0.99;

double Quantile(std::vector<double> values, double probability) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(
      std::ceil(probability * static_cast<double>(values.size())));
  return values[std::max<std::size_t>(rank, 1) - 1];
}

double Ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

}  // namespace

void BenchResult::AddRetryError(Duration stated, Duration actual) {
  const double actual_seconds = std::max(ToSeconds(actual), 1e-3);
  m_retry_errors.push_back(std::abs(ToSeconds(stated) - actual_seconds) /
                           actual_seconds);
}

void BenchResult::CountRetry(bool served) {
  m_retries += 1;
  m_served_retries += served ? 1 : 0;
}

void BenchResult::SetIdleMemory(double byte_seconds, double engine_bytes) {
  m_idle_hours = byte_seconds / engine_bytes / kSecondsPerHour;
}

double BenchResult::WorstAccountServedShare() const {
  std::map<std::uint32_t, std::pair<double, double>> accounts;
  for (const RequestRecord& record : m_records) {
    auto& [served, all] = accounts[record.m_account];
    served += record.m_outcome == Outcome::kServed ? 1 : 0;
    all += 1;
  }
  double worst = 1;
  for (const auto& [account, counts] : accounts) {
    worst = std::min(worst, Ratio(counts.first, counts.second));
  }
  return worst;
}

Measures BenchResult::ToMeasures() const {
  std::vector<double> waits;
  std::vector<double> cold_waits;
  std::vector<double> min_load_times;
  double refused = 0;
  double immediate = 0;
  double late = 0;
  double cold = 0;
  std::map<std::string, double> reasons = {{"refused_no_capacity", 0},
                                           {"refused_too_slow", 0}};
  for (const RequestRecord& record : m_records) {
    cold += record.m_cold ? 1 : 0;
    if (record.m_outcome == Outcome::kRefused) {
      refused += 1;
      reasons["refused_" + placement::ToString(record.m_reason)] += 1;
      immediate += record.m_wait <= kImmediateRefusalLimit ? 1 : 0;
      continue;
    }
    late += record.m_outcome == Outcome::kLate ? 1 : 0;
    waits.push_back(ToSeconds(record.m_wait));
    if (record.m_cold) {
      cold_waits.push_back(ToSeconds(record.m_wait));
      min_load_times.push_back(ToSeconds(record.m_min_load_time));
    }
  }
  const double all = static_cast<double>(m_records.size());
  const auto good_retries = static_cast<double>(
      std::count_if(m_retry_errors.begin(), m_retry_errors.end(),
                    [](double error) { return error <= kRetryTolerance; }));
  Measures measures = {
      {"requests", all},
      {"cold_share", Ratio(cold, all)},
      {"cold_p50_s", Quantile(cold_waits, 0.5)},
      {"cold_p99_s", Quantile(cold_waits, kTailProbability)},
      {"bound_p99_s", Quantile(min_load_times, kTailProbability)},
      {"cold_p99_over_bound",
       Ratio(Quantile(cold_waits, kTailProbability),
             Quantile(min_load_times, kTailProbability))},
      {"wait_p99_s", Quantile(waits, kTailProbability)},
      {"idle_hours", m_idle_hours},
      {"refused_share", Ratio(refused, all)},
      {"refused_at_once_share", refused > 0 ? immediate / refused : 1},
      {"late_share", Ratio(late, all)},
      {"retry_within_25_share",
       Ratio(good_retries, static_cast<double>(m_retry_errors.size()))},
      {"retry_served_share", Ratio(m_served_retries, m_retries)},
      {"retry_error_p50", Quantile(m_retry_errors, 0.5)},
      {"worst_account_served_share", WorstAccountServedShare()},
      {"loads", static_cast<double>(m_loads)},
      {"writes", static_cast<double>(m_writes)},
      {"overcommits", static_cast<double>(m_overcommits)}};
  measures.merge(reasons);
  return measures;
}

}  // namespace hickoryloft::tools
