// What a load run measured, as a table and as JSON.

#ifndef SOURCE_TOOLS_LOAD_LOAD_REPORT_H_
#define SOURCE_TOOLS_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace hickoryloft::tools {

// How one request ended. Times count from its planned arrival, so that a slow
// answer does not hide the requests behind it.
struct LoadSample {
  std::string m_account;
  std::string m_flow;
  std::string m_outcome;  // "completed", a refusal's type or a failure's code.
  Duration m_first_byte{};
  Duration m_total{};
  std::uint64_t m_tokens = 0;
};

// Returns the quantile of `durations`, which are sorted in place; zero if there
// are none. Thread-safe.
Duration QuantileOf(std::vector<Duration>& durations, double probability);

// Not thread-safe.
class LoadReport {
 public:
  void Add(LoadSample sample);
  // A planned request was not sent, since too many were open.
  void AddUnsent() { ++m_unsent; }

  std::size_t size() const { return m_samples.size(); }
  // Returns the whole measurement over `elapsed`.
  std::string ToJson(Duration elapsed) const;
  std::string ToTable(Duration elapsed) const;

 private:
  struct Summary {
    std::uint64_t m_requests = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_tokens = 0;
    std::map<std::string, std::uint64_t> m_outcomes;
    std::vector<Duration> m_first_bytes;  // Of completed requests.
    std::vector<Duration> m_totals;       // Of completed requests.
    std::vector<Duration> m_refusals;     // Totals of the others.
  };
  using Summaries = std::map<std::string, Summary>;

  static void AddTo(Summary& summary, const LoadSample& sample);
  Summary All() const;
  Summaries ByAccount() const;

  std::vector<LoadSample> m_samples;
  std::uint64_t m_unsent = 0;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_LOAD_LOAD_REPORT_H_
