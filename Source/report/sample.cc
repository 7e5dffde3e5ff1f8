#include "report/sample.h"

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace hickoryloft::report {

namespace {

Series ParseSeries(const nlohmann::json& json) {
  Series series;
  series.m_name = json.at("name").get<std::string>();
  series.m_labels = json.at("labels").get<std::map<std::string, std::string>>();
  if (!json.contains("buckets")) {
    series.m_value = json.at("value").get<double>();
    return series;
  }
  series.m_buckets.m_bounds_seconds =
      json.at("bounds").get<std::vector<double>>();
  series.m_buckets.m_counts = json.at("buckets").get<std::vector<double>>();
  series.m_buckets.m_total = json.at("count").get<double>();
  if (series.m_buckets.m_bounds_seconds.size() !=
      series.m_buckets.m_counts.size()) {
    throw Error(ErrorCode::kProtocol,
                "series " + series.m_name +
                    " has different numbers of bounds and buckets");
  }
  return series;
}

}  // namespace

std::string Series::Label(const std::string& name) const {
  const auto found = m_labels.find(name);
  return found == m_labels.end() ? "" : found->second;
}

Sample ParseSample(WallTime time,
                   const std::string& source,
                   const std::string& json) {
  Sample sample{.m_time = time, .m_source = source, .m_series = {}};
  try {
    for (const nlohmann::json& item : nlohmann::json::parse(json)) {
      sample.m_series.push_back(ParseSeries(item));
    }
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorCode::kProtocol,
                source + ": cannot parse the metrics: " + error.what());
  }
  return sample;
}

}  // namespace hickoryloft::report
