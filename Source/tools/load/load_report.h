// Results of a load run, as a table and as JSON.

#ifndef SOURCE_TOOLS_LOAD_LOAD_REPORT_H_
#define SOURCE_TOOLS_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace hickoryloft::tools {

// The result of one request. Times count from its planned arrival, so that a
// slow answer does not hide the delay of the requests behind it (coordinated
// omission).
struct LoadSample {
  std::string m_account;
  std::string m_flow;
  // "completed", the problem type of a refusal, the code of an Error,
  // "status_<status>", "wrong_request_id", "cut_stream" or "unanswered".
  std::string m_outcome;
  Duration m_first_byte{};
  Duration m_total{};
  std::uint64_t m_tokens = 0;
};

// Returns the nearest-rank quantile of `durations` at `probability` (0 to 1),
// or zero if there are none. Sorts `durations` in place. Thread-safe.
Duration QuantileOf(std::vector<Duration>& durations, double probability);

// Not thread-safe.
class LoadReport {
 public:
  void Add(LoadSample sample);
  // Counts a planned request that was not sent because too many were in
  // progress.
  void RecordUnsent() { ++m_unsent; }

  std::size_t size() const { return m_samples.size(); }
  // Return the results in total and by account. Rates are per second of
  // `elapsed`.
  std::string ToJson(Duration elapsed) const;
  std::string ToTable(Duration elapsed) const;

 private:
  struct Summary {
    std::uint64_t m_requests = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_tokens = 0;
    std::map<std::string, std::uint64_t> m_outcomes;
    std::vector<Duration> m_first_bytes;         // Completed requests.
    std::vector<Duration> m_totals;              // Completed requests.
    std::vector<Duration> m_uncompleted_totals;  // Total times of the others.
  };
  using Summaries = std::map<std::string, Summary>;

  static void AddToSummary(Summary& summary, const LoadSample& sample);
  Summary SummarizeAll() const;
  Summaries SummarizeByAccount() const;

  std::vector<LoadSample> m_samples;
  std::uint64_t m_unsent = 0;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_LOAD_LOAD_REPORT_H_
