// The metrics of an entry, per client account and kind of request.

#ifndef SOURCE_ENTRY_ENTRY_METRICS_H_
#define SOURCE_ENTRY_ENTRY_METRICS_H_

#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"
#include "entry/problem.h"
#include "metrics/registry.h"

namespace hickoryloft::entry {

// The kinds of requests to models and of requests to routes without a kind.
inline const std::string kCompletionKind = "completion";
inline const std::string kDefaultRouteKind = "call";

// Why a first answer missed the document's objective.
enum class LateCause { kColdStart, kStore, kRate, kEndpoint };

// The metrics that every request of one account and kind updates.
struct RequestSeries {
  metrics::Counter* m_requests = nullptr;
  metrics::Counter* m_completions = nullptr;
  metrics::Latency* m_first_answer = nullptr;
};

// Use on one thread only. `registry` must outlive it.
class EntryMetrics {
 public:
  explicit EntryMetrics(metrics::Registry& registry);

  // Returns the series of `account` and `kind`, which lives as long as this
  // object.
  const RequestSeries& Series(const ClientAccountId& account,
                              const std::string& kind);

  void CountRefusal(const ClientAccountId& account,
                    const std::string& kind,
                    ProblemKind reason,
                    bool within_rate);
  // Counts a refusal of a request that is not attributed to an account.
  void CountUnattributedRefusal(ProblemKind reason);
  void CountLate(const ClientAccountId& account,
                 const std::string& kind,
                 LateCause cause);
  void RecordColdStart(const ClientAccountId& account, Duration first_answer);
  void CountDuplicateAction() { m_doubled_actions.Add(); }
  void CountCallerDisconnected() { m_callers_left.Add(); }
  void CountRetry() { m_retries.Add(); }
  void CountResume() { m_resumes.Add(); }
  void CountMismatchedId() { m_wrong_ids.Add(); }

  metrics::Registry& registry() { return m_registry; }

 private:
  metrics::Registry& m_registry;
  std::unordered_map<std::string, RequestSeries> m_series;
  metrics::Counter& m_doubled_actions;
  metrics::Counter& m_callers_left;
  metrics::Counter& m_retries;
  metrics::Counter& m_resumes;
  metrics::Counter& m_wrong_ids;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_ENTRY_METRICS_H_
