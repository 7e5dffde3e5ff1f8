#include "report/history.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "base/error.h"

namespace hickoryloft::report {

namespace {

using Millis = std::chrono::milliseconds;

// Identifies a series of one process.
using SeriesKey =
    std::tuple<std::string, std::string, std::map<std::string, std::string>>;

// Returns the increase of a counter. A counter that fell was reset and counts
// from 0.
double CounterIncrease(double before, double after) {
  return after >= before ? after - before : after;
}

// Adds the increase from `before` to `after` to `sum`.
void AddIncrease(const Series& before, const Series& after, Series& sum) {
  const bool reset = after.m_value < before.m_value ||
                     after.m_buckets.m_total < before.m_buckets.m_total;
  sum.m_value += CounterIncrease(before.m_value, after.m_value);
  const BucketCounts& from = before.m_buckets;
  const BucketCounts& to = after.m_buckets;
  sum.m_buckets.m_bounds_seconds = to.m_bounds_seconds;
  sum.m_buckets.m_counts.resize(to.m_counts.size());
  for (std::size_t i = 0; i < to.m_counts.size(); ++i) {
    const bool comparable = !reset && i < from.m_counts.size();
    const double previous = comparable ? from.m_counts[i] : 0;
    sum.m_buckets.m_counts[i] += CounterIncrease(previous, to.m_counts[i]);
  }
  sum.m_buckets.m_total += reset ? to.m_total : to.m_total - from.m_total;
}

nlohmann::json ToJson(const Series& series) {
  nlohmann::json json = {{"name", series.m_name}, {"labels", series.m_labels}};
  if (series.m_buckets.m_bounds_seconds.empty()) {
    json["value"] = series.m_value;
    return json;
  }
  json["bounds"] = series.m_buckets.m_bounds_seconds;
  json["buckets"] = series.m_buckets.m_counts;
  json["count"] = series.m_buckets.m_total;
  return json;
}

}  // namespace

void History::Add(Sample sample) {
  if (!m_samples.empty() && sample.m_time < m_samples.back().m_time) {
    throw Error(
        ErrorCode::kInvalidArgument,
        "sample of " + sample.m_source + " is older than the one before it");
  }
  m_samples.push_back(std::move(sample));
}

std::vector<SeriesIncrease> History::IncreasesBetween(
    WallTime begin,
    WallTime end,
    const std::function<bool(const Series&)>& accepts) const {
  std::map<SeriesKey, Series> last_series;
  std::map<std::pair<std::string, std::map<std::string, std::string>>, Series>
      sums;
  std::map<std::string, bool> seen_sources;
  for (const Sample& sample : m_samples) {
    if (sample.m_time > end) {
      break;
    }
    const bool first_of_source = !seen_sources[sample.m_source];
    seen_sources[sample.m_source] = true;
    for (const Series& series : sample.m_series) {
      if (!accepts(series)) {
        continue;
      }
      Series& before =
          last_series[{sample.m_source, series.m_name, series.m_labels}];
      // The first sample of a process is only a base: its counters may
      // have grown at any earlier time.
      if (sample.m_time > begin && !first_of_source) {
        Series& sum = sums[{series.m_name, series.m_labels}];
        sum.m_name = series.m_name;
        sum.m_labels = series.m_labels;
        AddIncrease(before, series, sum);
      }
      before = series;
    }
  }
  std::vector<SeriesIncrease> increases;
  increases.reserve(sums.size());
  for (auto& [key, series] : sums) {
    increases.push_back({std::move(series)});
  }
  return increases;
}

void AppendToFile(const std::string& path, const Sample& sample) {
  nlohmann::json json;
  json["time_ms"] =
      std::chrono::duration_cast<Millis>(sample.m_time.time_since_epoch())
          .count();
  json["source"] = sample.m_source;
  json["series"] = nlohmann::json::array();
  for (const Series& series : sample.m_series) {
    json["series"].push_back(ToJson(series));
  }
  std::ofstream file(path, std::ios::app);
  file << json.dump() << '\n';
  if (!file.flush()) {
    throw Error(ErrorCode::kIo, path + ": cannot be written");
  }
}

History ReadHistory(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw Error(ErrorCode::kIo, path + ": cannot be opened for reading");
  }
  History history;
  std::string line;
  for (std::size_t number = 1; std::getline(file, line); ++number) {
    try {
      const auto json = nlohmann::json::parse(line);
      const WallTime time{Millis(json.at("time_ms").get<std::int64_t>())};
      history.Add(ParseSample(time, json.at("source").get<std::string>(),
                              json.at("series").dump()));
    } catch (const std::exception& error) {
      throw Error(ErrorCode::kInvalidArgument,
                  path + ":" + std::to_string(number) + ": " + error.what());
    }
  }
  return history;
}

}  // namespace hickoryloft::report
