// Decides what a caller's request asks for and whether it may.

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

// Whether the entry takes requests, asked for each of them.
struct EntryState {
  std::function<bool()> m_ready;     // For the balancer.
  std::function<bool()> m_serving;   // The serving right runs.
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

  // Each of these throws Problem if the request is refused.
  bool HandleOperators(CallerExchange& exchange);
  void CheckState() const;
  void StartCompletion(const Exchange& exchange);
  void StartService(const Exchange& exchange);
  std::shared_ptr<const Principal> RequirePrincipal(
      const std::optional<std::string>& key);
  ServiceRequest ResolveService(const CallerRequest& request,
                                const std::optional<std::string>& key);

  EntryContext& m_context;
  EntryState m_state;
};

// Returns the route of `service` with the longest prefix of `path`, which ends
// at a '/' or at the end, or nullptr. Thread-safe.
const documents::RouteSpec* FindRoute(
    const documents::PlainServiceSpec& service,
    std::string_view path);

// Throws Problem if a header that decides how the request is read is given more
// than once. Thread-safe.
void CheckHeaders(const CallerRequest& request);

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_REQUEST_ROUTER_H_
