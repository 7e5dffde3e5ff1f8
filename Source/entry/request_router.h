// Routes callers' requests and checks that they are allowed.

#ifndef SOURCE_ENTRY_REQUEST_ROUTER_H_
#define SOURCE_ENTRY_REQUEST_ROUTER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "entry/caller_exchange.h"
#include "entry/entry_context.h"
#include "entry/problem.h"
#include "entry/service_flow.h"

namespace hickoryloft::entry {

// The state of the entry, queried for each request.
struct EntryState {
  std::function<bool()> m_ready;     // Reported at /readyz.
  std::function<bool()> m_serving;   // The serving right is valid.
  std::function<bool()> m_draining;  // New requests are refused.
};

// Checks a request and starts its flow, or refuses it. Use on the loop's thread
// only. `context` must outlive it.
class RequestRouter {
 public:
  RequestRouter(EntryContext& context, EntryState state)
      : m_context(context), m_state(std::move(state)) {}

  void Handle(const std::shared_ptr<CallerExchange>& exchange);

 private:
  using Exchange = std::shared_ptr<CallerExchange>;

  // Answers the operators' paths and returns false for all others.
  bool HandleOperatorPath(CallerExchange& exchange);
  // Each of these throws Problem if the request is refused.
  void CheckAcceptsRequests() const;
  void StartCompletion(const Exchange& exchange);
  void StartService(const Exchange& exchange);
  std::shared_ptr<const Principal> RequirePrincipal(
      const std::optional<std::string>& key);
  ServiceRequest ResolveService(const CallerRequest& request,
                                const std::optional<std::string>& key);

  EntryContext& m_context;
  EntryState m_state;
};

// Returns the route of `service` with the longest path that matches the leading
// whole segments of `path`, or nullptr. Thread-safe.
const documents::RouteSpec* FindRoute(
    const documents::PlainServiceSpec& service,
    std::string_view path);

// Throws Problem if a header that must be unique is repeated, if both
// Content-Length and Transfer-Encoding are given, or if the Idempotency-Key is
// empty or too long. Thread-safe.
void CheckHeaders(const CallerRequest& request);

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_REQUEST_ROUTER_H_
