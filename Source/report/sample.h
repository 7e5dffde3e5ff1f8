// The metrics of one process at one time.

#ifndef SOURCE_REPORT_SAMPLE_H_
#define SOURCE_REPORT_SAMPLE_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hickoryloft::report {

// Wall-clock time, because samples are stored and read by later processes.
using WallTime = std::chrono::system_clock::time_point;

// A latency histogram. Counts are per bucket, not cumulative.
struct BucketCounts {
  std::vector<double> m_bounds_seconds;
  std::vector<double> m_counts;
  double m_total = 0;  // Includes values above the last bound.
};

// One series with its labels.
struct Series {
  std::string m_name;
  std::map<std::string, std::string> m_labels;
  double m_value = 0;      // Counters and gauges only.
  BucketCounts m_buckets;  // Latency histograms only.

  // Returns the value of label `name`, or "" if there is none.
  std::string Label(const std::string& name) const;
};

struct Sample {
  WallTime m_time;
  std::string m_source;  // "address:port" of the process.
  std::vector<Series> m_series;
};

// Parses the body of a daemon's response to GET /metrics.json. Throws
// Error(kProtocol) if `json` is malformed. Thread-safe.
Sample ParseSample(WallTime time,
                   const std::string& source,
                   const std::string& json);

}  // namespace hickoryloft::report

#endif  // SOURCE_REPORT_SAMPLE_H_
