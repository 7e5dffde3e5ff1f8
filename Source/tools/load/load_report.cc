#include "tools/load/load_report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace hickoryloft::tools {
namespace {

using Json = nlohmann::json;

constexpr double kMillisPerSecond = 1000;
constexpr double kQuantiles[] = {0.5, 0.9, 0.99};
constexpr char kCompleted[] = "completed";

double Millis(Duration duration) {
  return ToSeconds(duration) * kMillisPerSecond;
}

double PerSecond(std::uint64_t count, Duration elapsed) {
  return static_cast<double>(count) / ToSeconds(elapsed);
}

Json QuantilesJson(std::vector<Duration> durations) {
  Json json = Json::object();
  for (const double probability : kQuantiles) {
    const std::string name =
        "p" + std::to_string(std::lround(probability * 100)) + "_ms";
    json[name] = Millis(QuantileOf(durations, probability));
  }
  return json;
}

}  // namespace

Duration QuantileOf(std::vector<Duration>& durations, double probability) {
  if (durations.empty()) {
    return {};
  }
  std::sort(durations.begin(), durations.end());
  const double rank =
      std::ceil(probability * static_cast<double>(durations.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return durations[std::min(index, durations.size() - 1)];
}

void LoadReport::Add(LoadSample sample) {
  m_samples.push_back(std::move(sample));
}

void LoadReport::AddToSummary(Summary& summary, const LoadSample& sample) {
  ++summary.m_requests;
  ++summary.m_outcomes[sample.m_outcome];
  summary.m_tokens += sample.m_tokens;
  if (sample.m_outcome != kCompleted) {
    summary.m_uncompleted_totals.push_back(sample.m_total);
    return;
  }
  ++summary.m_completed;
  summary.m_first_bytes.push_back(sample.m_first_byte);
  summary.m_totals.push_back(sample.m_total);
}

LoadReport::Summary LoadReport::SummarizeAll() const {
  Summary summary;
  for (const LoadSample& sample : m_samples) {
    AddToSummary(summary, sample);
  }
  return summary;
}

LoadReport::Summaries LoadReport::SummarizeByAccount() const {
  Summaries summaries;
  for (const LoadSample& sample : m_samples) {
    AddToSummary(summaries[sample.m_account], sample);
  }
  return summaries;
}

std::string LoadReport::ToJson(Duration elapsed) const {
  const auto to_json = [elapsed](const Summary& summary) {
    return Json{{"requests", summary.m_requests},
                {"completed", summary.m_completed},
                {"tokens", summary.m_tokens},
                {"requests_per_second", PerSecond(summary.m_requests, elapsed)},
                {"tokens_per_second", PerSecond(summary.m_tokens, elapsed)},
                {"outcomes", summary.m_outcomes},
                {"first_byte", QuantilesJson(summary.m_first_bytes)},
                {"total", QuantilesJson(summary.m_totals)},
                {"not_completed", QuantilesJson(summary.m_uncompleted_totals)}};
  };
  Json json = to_json(SummarizeAll());
  json["elapsed_s"] = ToSeconds(elapsed);
  json["unsent"] = m_unsent;
  for (const auto& [account, summary] : SummarizeByAccount()) {
    json["accounts"][account] = to_json(summary);
  }
  return json.dump(2);
}

std::string LoadReport::ToTable(Duration elapsed) const {
  constexpr int kNameWidth = 24;
  constexpr int kColumnWidth = 12;
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  const auto row = [&out](const std::string& name, Summary summary) {
    out << std::left << std::setw(kNameWidth) << name << std::right
        << std::setw(kColumnWidth) << summary.m_requests
        << std::setw(kColumnWidth) << summary.m_completed;
    for (auto* durations : {&summary.m_first_bytes, &summary.m_totals}) {
      for (const double probability : kQuantiles) {
        out << std::setw(kColumnWidth)
            << Millis(QuantileOf(*durations, probability));
      }
    }
    out << "\n";
  };
  out << std::left << std::setw(kNameWidth) << "account" << std::right;
  for (const char* column :
       {"requests", "completed", "first p50", "first p90", "first p99",
        "total p50", "total p90", "total p99"}) {
    out << std::setw(kColumnWidth) << column;
  }
  out << "\n";
  for (const auto& [account, summary] : SummarizeByAccount()) {
    row(account.empty() ? "(none)" : account, summary);
  }
  const Summary all = SummarizeAll();
  row("all", all);
  out << "\nTimes in milliseconds. " << ToSeconds(elapsed) << " s, "
      << PerSecond(all.m_requests, elapsed) << " requests/s, "
      << PerSecond(all.m_tokens, elapsed) << " tokens/s, " << m_unsent
      << " not sent.\n";
  for (const auto& [outcome, count] : all.m_outcomes) {
    out << "  " << outcome << ": " << count << "\n";
  }
  return out.str();
}

}  // namespace hickoryloft::tools
