// Relays a request to a plain service.

#ifndef SOURCE_ENTRY_SERVICE_FLOW_H_
#define SOURCE_ENTRY_SERVICE_FLOW_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "endpoint/buffered_call.h"
#include "entry/caller_exchange.h"
#include "entry/entry_context.h"

namespace hickoryloft::entry {

// A request to a plain service, resolved with a document.
struct ServiceRequest {
  std::shared_ptr<const documents::Document> m_document;
  std::shared_ptr<const Principal> m_principal;  // Null on an open route.
  ServiceId m_service;
  const documents::RouteSpec* m_route = nullptr;  // Owned by m_document.
  std::string m_target;  // Path within the service, and query without the key.
  std::string m_caller_key;
  Duration m_patience{};
};

// Relays one request. A route that is not idempotent is called at most once, on
// a connection of its own, and with an Idempotency-Key only if the action
// ledger allows it. Such a call is not cancelled when its caller disconnects,
// so that its answer can be recorded. Owned by RunningRequests. Use on the
// loop's thread only.
class ServiceFlow : public RunningRequest,
                    public std::enable_shared_from_this<ServiceFlow> {
 public:
  ServiceFlow(EntryContext& context,
              std::shared_ptr<CallerExchange> exchange,
              ServiceRequest request);

  void Start();

  const Principal* principal() const override {
    return m_request.m_principal.get();
  }
  void AbortForWithdrawnKey() override;
  void Abort() override;

 private:
  void ReserveTokens();
  void OnTokenDecision(const Result<TokenDecision>& decision);
  void BeginAction(const std::string& key);
  void OnActionDecision(const Result<ActionDecision>& decision);
  void OnActionNotRun(const ActionDecision& decision);
  // Calls an endpoint. Refuses the request if there is none or if
  // `send_deadline` has passed.
  void CallEndpoint(std::optional<MonotonicTime> send_deadline);
  const routing::EndpointRecord* ChooseEndpoint() const;
  endpoint::CallRequest MakeCallRequest(const routing::EndpointRecord& endpoint,
                                        const std::string& request_id) const;
  void OnAnswer(const EndpointId& endpoint,
                const std::string& request_id,
                const Result<endpoint::Answer>& answer);
  void OnCallFailed(const EndpointId& endpoint, const Error& error);
  void SendAnswer(const endpoint::Answer& answer);
  void RecordAction(ActionResult result, const RecordedAnswer& answer);
  void RecordFirstAnswer();

  void OnDeadline();
  void OnCallerLeft();
  void Refuse(const Problem& problem);
  // Ends the part of the caller, which has its answer or has disconnected.
  void CloseCaller();
  // Removes this flow from the running requests once the caller is done and
  // neither a call nor a ledger request is pending.
  void RemoveIfDone();

  EntryContext& m_context;
  std::shared_ptr<CallerExchange> m_exchange;
  ServiceRequest m_request;
  std::string m_kind;
  const RequestSeries& m_series;
  std::uint64_t m_id = 0;
  MonotonicTime m_deadline{};
  std::unique_ptr<Timer> m_deadline_timer;

  bool m_caller_waiting = true;
  bool m_call_pending = false;  // A call or a ledger request is pending.
  bool m_tokens_reserved = false;
  bool m_sent = false;  // A call may have reached an endpoint.
  std::uint32_t m_attempts = 0;
  std::optional<ActionRequest> m_action;
  std::uint64_t m_action_attempt = 0;
  std::vector<EndpointId> m_failed_endpoints;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_SERVICE_FLOW_H_
