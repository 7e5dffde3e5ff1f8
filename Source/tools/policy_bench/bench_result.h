// Results of one replay.

#ifndef SOURCE_TOOLS_POLICY_BENCH_BENCH_RESULT_H_
#define SOURCE_TOOLS_POLICY_BENCH_BENCH_RESULT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "placement/types.h"

namespace hickoryloft::tools {

enum class Outcome { kServed, kRefused, kLate };

// The result of one request of the trace.
struct RequestRecord {
  std::uint32_t m_account = 0;
  Outcome m_outcome = Outcome::kLate;
  bool m_cold = false;  // No ready replica at its arrival.
  Duration m_wait{};    // From arrival to a ready replica, or to the refusal.
  Duration m_min_load_time{};  // Shortest possible load at arrival, if cold.
  placement::RefusalReason m_reason = placement::RefusalReason::kNone;
};

using Measures = std::map<std::string, double>;

// Not thread-safe.
class BenchResult {
 public:
  void AddRequest(const RequestRecord& record) { m_records.push_back(record); }
  // Compares the retry time of a refusal, `stated`, with the time from the
  // refusal until the artifact was ready, `actual`.
  void AddRetryError(Duration stated, Duration actual);
  // Counts a request that was sent again at the stated retry time.
  void CountRetry(bool served);
  // Sets the idle memory, which is reported as hours of one engine's memory.
  void SetIdleMemory(double byte_seconds, double engine_bytes);
  void CountLoad() { ++m_loads; }
  void CountWrite() { ++m_writes; }
  void CountOvercommit() { ++m_overcommits; }

  // Returns the measures by name. The suffix of a name gives its unit.
  Measures ToMeasures() const;

 private:
  double WorstAccountServedShare() const;

  std::vector<RequestRecord> m_records;
  std::vector<double> m_retry_errors;
  double m_retries = 0;
  double m_served_retries = 0;
  double m_idle_hours = 0;
  std::uint64_t m_loads = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_overcommits = 0;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_POLICY_BENCH_BENCH_RESULT_H_
