// Admits callers' requests and queues those that wait for an endpoint.

#ifndef SOURCE_HOST_FRONTEND_H_
#define SOURCE_HOST_FRONTEND_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/token_quota.h"
#include "host/fleet_exchange.h"
#include "host/request_flow.h"
#include "placement/model_demand.h"

namespace hickoryloft::host {

// Use on the loop's thread only.
class Frontend {
 public:
  // Sets the callbacks m_on_waiting and m_on_finished of `context`, which must
  // outlive the frontend.
  explicit Frontend(RequestContext& context);

  // Admits or rejects a request that has been read completely.
  void HandleRequest(std::shared_ptr<http::ServerExchange> exchange);

  // Schedules another search for endpoints for all waiting requests. Call when
  // an endpoint may have become available.
  void RetryWaiting();
  // Announces that the host stops after `grace`. From now on, requests whose
  // deadline is later are rejected, except streams for a short time.
  void BeginStop(Duration grace);
  // Ends all requests, because the host stops.
  void AbortAll();

  // Applies the accounts of the configuration in force.
  void ApplyConfiguration();
  // Applies the tokens that the other hosts have admitted.
  void ApplyOtherHosts(const OtherHostsView& others);

  // Sets the metrics of the accounts' rates.
  void MeasureAccounts();

  std::size_t open() const { return m_flows.size(); }
  std::size_t waiting() const { return m_waiting.size(); }
  // Adds the admitted tokens of the accounts to a report, and marks them as
  // reported.
  void AddCounts(membership::FleetCounts& counts);
  // Adds the waiting requests, and the arrivals since the previous call.
  void AddDemand(membership::EngineDemand& demand);

 private:
  struct Rejection {
    int m_status = 0;
    std::string m_reason;
    std::optional<Duration> m_retry_after;
  };

  // Returns the rejection if the request is not admitted.
  std::optional<Rejection> Admit(const http::ServerRequest& received,
                                 RequestFlow::Admitted& admitted);
  std::optional<Rejection> CheckKey(RequestFlow::Admitted& admitted);
  std::optional<Rejection> ChargeQuota(RequestFlow::Admitted& admitted);
  std::optional<Rejection> CheckServable(const RequestFlow::Admitted& admitted);
  std::optional<Rejection> CheckStopping(
      const RequestFlow::Admitted& admitted) const;
  // Whether this host's view is so old that an unknown route or key may have
  // been added since, or older than what the key-value service has lost.
  bool MayBeOutdated() const;
  void Reject(http::ServerExchange& exchange,
              const RequestFlow::Admitted& admitted,
              const Rejection& rejection);
  void AddWaiting(RequestFlow& flow);
  void Remove(RequestFlow& flow);
  placement::ModelDemand::Key DemandKey(const RequestFlow& flow) const;

  RequestContext& m_context;
  std::unordered_map<RequestFlow*, std::unique_ptr<RequestFlow>> m_flows;
  // In order of urgency, then of arrival.
  std::multimap<std::pair<int, MonotonicTime>, RequestFlow*> m_waiting;
  std::unordered_map<ClientAccountId, admission::TokenQuota> m_quotas;
  // Requests for each model since the last report.
  std::map<placement::ModelDemand::Key, double> m_arrivals;
  std::unique_ptr<Timer> m_retry_timer;
  bool m_stopping = false;
  MonotonicTime m_stop_started_at;
  MonotonicTime m_stop_ends_at;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_FRONTEND_H_
