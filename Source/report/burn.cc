#include "report/burn.h"

#include <algorithm>
#include <set>

namespace hickoryloft::report {

namespace {

// Metrics exported by entries; see docs/operators/burn-report.md.
constexpr char kRequests[] = "loft_entry_requests_total";
constexpr char kCompletions[] = "loft_entry_completions_total";
constexpr char kRefusals[] = "loft_entry_refusals_total";
constexpr char kFirstAnswer[] = "loft_entry_first_answer_seconds";
constexpr char kLateFirstAnswers[] = "loft_entry_late_first_answers_total";
constexpr char kDoubledActions[] = "loft_entry_doubled_actions_total";

bool IsEntrySeries(const Series& series) {
  static const std::set<std::string> kNames = {
      kRequests,    kCompletions,      kRefusals,
      kFirstAnswer, kLateFirstAnswers, kDoubledActions};
  return kNames.count(series.m_name) > 0;
}

double KindWeight(const BurnInputs& inputs, const std::string& kind) {
  const auto found = inputs.m_kind_weights.find(kind);
  return found == inputs.m_kind_weights.end() ? 1 : found->second;
}

// Returns how many values exceed `limit_seconds`, with linear interpolation
// inside the bucket that contains it.
double CountAbove(const BucketCounts& buckets, double limit_seconds) {
  double below = 0;
  double lower = 0;
  for (std::size_t i = 0; i < buckets.m_counts.size(); ++i) {
    const double upper = buckets.m_bounds_seconds[i];
    if (limit_seconds >= upper) {
      below += buckets.m_counts[i];
    } else if (limit_seconds > lower) {
      const double part = (limit_seconds - lower) / (upper - lower);
      below += buckets.m_counts[i] * part;
    }
    lower = upper;
  }
  return std::max(0.0, buckets.m_total - below);
}

// Adds `total` and `failed` to the overall tally and to the tallies of the
// series' account and kind.
void AddCounts(ObjectiveBurn& burn,
               const Series& series,
               double total,
               double failed) {
  for (Tally* tally :
       {&burn.m_tally, &burn.m_by_account[series.Label("account")],
        &burn.m_by_kind[series.Label("kind")]}) {
    tally->m_total += total;
    tally->m_failed += failed;
  }
}

// Without an allowance, the rate is the number of failures.
void SetBurnRate(ObjectiveBurn& burn) {
  const double share = burn.m_tally.FailedShare();
  if (burn.m_allowed_share > 0) {
    burn.m_rate = share / burn.m_allowed_share;
  } else {
    burn.m_rate = burn.m_tally.m_failed;
  }
}

ObjectiveBurn FirstAnswerBurn(const std::vector<SeriesIncrease>& increases,
                              const BurnInputs& inputs) {
  ObjectiveBurn burn{
      .m_objective = Objective::kFirstAnswer,
      .m_allowed_share = 1 - inputs.m_objectives.m_first_answer_share};
  const double limit = ToSeconds(inputs.m_objectives.m_first_answer);
  for (const auto& [series] : increases) {
    if (series.m_name == kFirstAnswer) {
      AddCounts(burn, series, series.m_buckets.m_total,
                CountAbove(series.m_buckets, limit));
    }
    if (series.m_name == kLateFirstAnswers) {
      burn.m_tally.m_causes[series.Label("cause")] += series.m_value;
    }
  }
  SetBurnRate(burn);
  return burn;
}

ObjectiveBurn RefusedWithinRateBurn(
    const std::vector<SeriesIncrease>& increases,
    const BurnInputs& inputs) {
  ObjectiveBurn burn{
      .m_objective = Objective::kRefusedWithinRate,
      .m_allowed_share = inputs.m_objectives.m_refused_within_rate_share};
  for (const auto& [series] : increases) {
    if (series.m_name == kRequests) {
      AddCounts(burn, series, series.m_value, 0);
    }
    if (series.m_name == kRefusals && series.Label("within_rate") == "true") {
      AddCounts(burn, series, 0, series.m_value);
      burn.m_tally.m_causes[series.Label("reason")] += series.m_value;
    }
  }
  SetBurnRate(burn);
  return burn;
}

// Computes the burn of the account with the largest weighted share of requests
// that were not completed. Requests refused beyond the rate do not count.
ObjectiveBurn WorstAccountBurn(const std::vector<SeriesIncrease>& increases,
                               const BurnInputs& inputs) {
  ObjectiveBurn burn{
      .m_objective = Objective::kWorstAccount,
      .m_allowed_share = 1 - inputs.m_objectives.m_worst_account_share};
  for (const auto& [series] : increases) {
    const double weighted =
        series.m_value * KindWeight(inputs, series.Label("kind"));
    if (series.m_name == kRequests) {
      AddCounts(burn, series, weighted, weighted);
    }
    if (series.m_name == kCompletions) {
      AddCounts(burn, series, 0, -weighted);
    }
    if (series.m_name == kRefusals && series.Label("within_rate") != "true") {
      AddCounts(burn, series, -weighted, -weighted);
    }
  }
  Tally worst;
  for (auto& [account, tally] : burn.m_by_account) {
    // The window may hold completions of requests that arrived before it, which
    // can make the number of failures negative.
    tally.m_failed = std::max(0.0, tally.m_failed);
    if (tally.FailedShare() >= worst.FailedShare() && tally.m_total > 0) {
      worst = tally;
      worst.m_causes = {{account, tally.m_failed}};
    }
  }
  burn.m_tally = worst;
  SetBurnRate(burn);
  return burn;
}

ObjectiveBurn DoubledActionsBurn(const std::vector<SeriesIncrease>& increases,
                                 const BurnInputs& /*inputs*/) {
  ObjectiveBurn burn{.m_objective = Objective::kDoubledActions,
                     .m_allowed_share = 0};
  for (const auto& [series] : increases) {
    if (series.m_name == kDoubledActions) {
      AddCounts(burn, series, series.m_value, series.m_value);
    }
  }
  SetBurnRate(burn);
  return burn;
}

using BurnFunction = ObjectiveBurn (*)(const std::vector<SeriesIncrease>&,
                                       const BurnInputs&);

// In the order of kObjectives.
constexpr std::array<BurnFunction, kObjectives.size()> kBurnFunctions = {
    &FirstAnswerBurn, &RefusedWithinRateBurn, &WorstAccountBurn,
    &DoubledActionsBurn};

}  // namespace

std::string_view ToString(Objective objective) {
  switch (objective) {
    case Objective::kFirstAnswer:
      return "first answer in time";
    case Objective::kRefusedWithinRate:
      return "refused within rate";
    case Objective::kWorstAccount:
      return "worst-served account";
    case Objective::kDoubledActions:
      return "doubled actions";
  }
  return "unknown";
}

const std::vector<Window>& ReportWindows() {
  static const std::vector<Window> kWindows = {
      {"5 min", std::chrono::minutes(5)},
      {"1 h", std::chrono::hours(1)},
      {"6 h", std::chrono::hours(6)}};
  return kWindows;
}

BurnInputs ReadBurnInputs(const documents::Document& document) {
  BurnInputs inputs;
  inputs.m_objectives = document.m_objectives;
  for (const auto& [name, kind] : document.m_kinds) {
    inputs.m_kind_weights[name] = kind.m_weight;
  }
  return inputs;
}

std::vector<ObjectiveBurn> ComputeBurn(const History& history,
                                       const BurnInputs& inputs,
                                       WallTime begin,
                                       WallTime end) {
  const auto increases = history.IncreasesBetween(begin, end, &IsEntrySeries);
  std::vector<ObjectiveBurn> burns;
  burns.reserve(kBurnFunctions.size());
  for (const BurnFunction function : kBurnFunctions) {
    burns.push_back(function(increases, inputs));
  }
  return burns;
}

std::vector<WindowBurn> ComputeWindowBurns(const History& history,
                                           const BurnInputs& inputs) {
  const WallTime end = history.last_time();
  std::vector<WindowBurn> windows;
  for (const Window& window : ReportWindows()) {
    const WallTime begin = end - window.m_length;
    windows.push_back({.m_window = window,
                       .m_fully_covered = history.first_time() <= begin,
                       .m_burns = ComputeBurn(history, inputs, begin, end)});
  }
  return windows;
}

std::vector<BurnPoint> ComputeBurnPlot(const History& history,
                                       const BurnInputs& inputs,
                                       std::chrono::milliseconds step,
                                       std::size_t points) {
  std::vector<BurnPoint> plot;
  const WallTime last = history.last_time();
  for (std::size_t i = 0; i < points; ++i) {
    const WallTime end =
        last - step * static_cast<std::int64_t>(points - 1 - i);
    if (end < history.first_time()) {
      continue;
    }
    BurnPoint point{.m_time = end};
    const auto burns = ComputeBurn(history, inputs, end - step, end);
    for (std::size_t j = 0; j < burns.size(); ++j) {
      point.m_rates[j] = burns[j].m_rate;
    }
    plot.push_back(point);
  }
  return plot;
}

}  // namespace hickoryloft::report
