// What is certain about the execution of one request by endpoints.

#ifndef SOURCE_HOST_EXECUTION_RECORD_H_
#define SOURCE_HOST_EXECUTION_RECORD_H_

#include <cstddef>
#include <optional>
#include <set>

#include "base/ids.h"

namespace hickoryloft::host {

// How a send of a request ended, for whatever reason.
enum class SendEnd {
  // The endpoint may have executed the request: the default for every end that
  // proves nothing else.
  kMayHaveRun,
  kNotExecuted,  // It is certain that it has not and will not.
};

// Decides whether a refusal may promise that the request has not run, whether
// its tokens are returned to its account, and at how many endpoints it may have
// run. Not thread-safe.
class ExecutionRecord {
 public:
  // Precondition: no send is under way.
  void BeginSend(const EndpointId& endpoint) { m_current = endpoint; }
  // Does nothing if no send is under way.
  void EndSend(SendEnd end);

  bool sending() const { return m_current.has_value(); }
  // Whether it is certain that no endpoint has executed the request. A request
  // that is being sent may have been executed.
  bool not_run() const { return !sending() && m_may_have_run_at.empty(); }
  // Number of endpoints that may have executed the request, without the one of
  // a send under way.
  std::size_t endpoints() const { return m_may_have_run_at.size(); }

 private:
  std::optional<EndpointId> m_current;
  std::set<EndpointId> m_may_have_run_at;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_EXECUTION_RECORD_H_
