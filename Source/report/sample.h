// One reading of one process's metrics.

#ifndef SOURCE_REPORT_SAMPLE_H_
#define SOURCE_REPORT_SAMPLE_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hickoryloft::report {

// Wall-clock time, since samples outlive the process that takes them.
using WallTime = std::chrono::system_clock::time_point;

// A latency series as read: counts per bucket, not cumulative.
struct BucketCounts {
  std::vector<double> m_bounds_seconds;
  std::vector<double> m_counts;
  double m_total = 0;  // Values above the last bound included.
};

// One series with its labels.
struct Series {
  std::string m_name;
  std::map<std::string, std::string> m_labels;
  double m_value = 0;      // Of a counter or a gauge.
  BucketCounts m_buckets;  // Of a latency; empty otherwise.

  // Returns the value of label `name`, or "" if there is none.
  std::string Label(const std::string& name) const;
};

struct Sample {
  WallTime m_time;
  std::string m_source;  // "address:port" of the process.
  std::vector<Series> m_series;
};

// Parses what a daemon answers at /metrics.json. Thread-safe.
// Throws Error(kProtocol) for anything else.
Sample ParseSample(WallTime time,
                   const std::string& source,
                   const std::string& json);

}  // namespace hickoryloft::report

#endif  // SOURCE_REPORT_SAMPLE_H_
