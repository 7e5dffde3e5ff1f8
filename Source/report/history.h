// The samples of a fleet over time, kept in a file of JSON lines on the
// operator's machine, since hosts keep nothing.

#ifndef SOURCE_REPORT_HISTORY_H_
#define SOURCE_REPORT_HISTORY_H_

#include <functional>
#include <string>
#include <vector>

#include "base/time.h"
#include "report/sample.h"

namespace hickoryloft::report {

// How much a series grew in a window, added over all processes.
struct Growth {
  Series m_series;  // Values and buckets hold the growth.
};

// Holds samples ordered by time. Not thread-safe.
class History {
 public:
  // Adds a sample; times of one source must not decrease, else
  // Error(kInvalidArgument).
  void Add(Sample sample);

  // Returns the growth of every series that `wanted` accepts between `begin`
  // and `end`. A counter that fell was reset by a restart and counts from 0.
  std::vector<Growth> GrowthBetween(
      WallTime begin,
      WallTime end,
      const std::function<bool(const Series&)>& wanted) const;

  bool empty() const { return m_samples.empty(); }
  // Returns the time of the first or last sample. Precondition: !empty().
  WallTime first_time() const { return m_samples.front().m_time; }
  WallTime last_time() const { return m_samples.back().m_time; }

  const std::vector<Sample>& samples() const { return m_samples; }

 private:
  std::vector<Sample> m_samples;
};

// Appends `sample` to the file at `path`, one line. Throws Error(kIo).
void AppendToFile(const std::string& path, const Sample& sample);

// Reads a file written by AppendToFile(). Throws Error(kIo), and
// Error(kInvalidArgument) that names the line that cannot be read.
History ReadHistory(const std::string& path);

}  // namespace hickoryloft::report

#endif  // SOURCE_REPORT_HISTORY_H_
