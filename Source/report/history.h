// Metric samples of a fleet over time. They are stored in a JSON Lines file on
// the operator's machine because hosts store no metric history.

#ifndef SOURCE_REPORT_HISTORY_H_
#define SOURCE_REPORT_HISTORY_H_

#include <functional>
#include <string>
#include <vector>

#include "base/time.h"
#include "report/sample.h"

namespace hickoryloft::report {

// The increase of a series in a window, summed over all processes.
struct SeriesIncrease {
  Series m_series;  // Value and buckets hold the increase.
};

// Holds samples ordered by time. Not thread-safe.
class History {
 public:
  // Adds a sample. Throws Error(kInvalidArgument) if it is older than the
  // sample added before it, from whichever source.
  void Add(Sample sample);

  // Returns the increase over (`begin`, `end`] of every series that `accepts`
  // accepts. A counter that fell was reset by a restart and counts from 0. The
  // first sample of a source adds nothing.
  std::vector<SeriesIncrease> IncreasesBetween(
      WallTime begin,
      WallTime end,
      const std::function<bool(const Series&)>& accepts) const;

  bool empty() const { return m_samples.empty(); }
  // Return the time of the first and last sample. Precondition: !empty().
  WallTime first_time() const { return m_samples.front().m_time; }
  WallTime last_time() const { return m_samples.back().m_time; }

  const std::vector<Sample>& samples() const { return m_samples; }

 private:
  std::vector<Sample> m_samples;
};

// Appends `sample` to the file at `path` as one line. Throws Error(kIo).
void AppendToFile(const std::string& path, const Sample& sample);

// Reads a file written by AppendToFile(). Throws Error(kIo) if the file cannot
// be opened, and Error(kInvalidArgument) with the number of the first invalid
// line.
History ReadHistory(const std::string& path);

}  // namespace hickoryloft::report

#endif  // SOURCE_REPORT_HISTORY_H_
