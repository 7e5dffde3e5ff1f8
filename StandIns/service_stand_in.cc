#include "StandIns/service_stand_in.h"

#include <utility>

namespace hickoryloft::standins {

ServiceStandIn::ServiceStandIn(EventLoop& loop,
                               const ListenAddress& listen,
                               std::string name)
    : StandIn(loop, listen), m_name(std::move(name)) {}

nlohmann::json ServiceStandIn::Record() const {
  nlohmann::json by_key = nlohmann::json::object();
  for (const auto& [key, execution] : m_executions_by_key) {
    by_key[key] = {{"count", execution.m_count}, {"body", execution.m_body}};
  }
  return {{"name", m_name},
          {"executions", m_execution_count},
          {"refused", m_refused},
          {"by_idempotency_key", by_key},
          {"requests", m_requests.ToJson()}};
}

void ServiceStandIn::Handle(const CallPtr& call) {
  constexpr int kOk = 200;
  constexpr int kServiceUnavailable = 503;
  m_requests.Add(*call);
  std::string id = call->Header("x-request-id");
  if (m_wrong_ids_left > 0) {
    --m_wrong_ids_left;
    id = "wrong-" + id;
  }
  const Headers headers =
      id.empty() ? Headers{} : Headers{{"X-Request-Id", id}};
  if (m_refuse) {
    ++m_refused;
    call->Send(kServiceUnavailable, {{"error", "refused"}}, headers);
    return;
  }
  ++m_execution_count;
  Execution& execution = m_executions_by_key[call->Header("idempotency-key")];
  ++execution.m_count;
  execution.m_body = call->body();
  if (ConsumeDroppedReply()) {
    call->Drop();
    return;
  }
  call->Send(kOk,
             {{"service", m_name},
              {"execution", m_execution_count},
              {"path", call->path()}},
             headers);
}

void ServiceStandIn::ApplyFaults(const nlohmann::json& faults) {
  if (faults.contains("refuse")) {
    m_refuse = faults["refuse"].get<bool>();
  }
  if (faults.contains("reply_with_wrong_id")) {
    m_wrong_ids_left = faults["reply_with_wrong_id"].get<std::int64_t>();
  }
  m_requests.ApplyFaults(faults);
}

}  // namespace hickoryloft::standins
