// The state and the callbacks that all requests of one host share.

#ifndef SOURCE_HOST_REQUEST_CONTEXT_H_
#define SOURCE_HOST_REQUEST_CONTEXT_H_

#include <functional>
#include <memory>

#include "admission/retry_budget.h"
#include "base/buffer_budget.h"
#include "base/event_loop.h"
#include "base/random.h"
#include "endpoint/pooled_http_client.h"
#include "fleet/fleet_state_feed.h"
#include "fleet/protocols.h"
#include "host/crash_guard.h"
#include "host/endpoint_probe.h"
#include "host/host_metrics.h"
#include "host/host_settings.h"
#include "host/permit_exchange.h"
#include "placement/replica_map.h"
#include "routing/endpoint_health.h"
#include "routing/fleet_load.h"

namespace hickoryloft::host {

class RequestFlow;

// Refers to members of the daemon, which outlive the requests. Use on the
// loop's thread only.
struct RequestContext {
  EventLoop& m_loop;
  const HostSettings& m_settings;
  const fleet::FleetStateFeed& m_knowledge;
  const fleet::CallerProtocol& m_protocol;
  endpoint::HttpClient& m_client;
  routing::FleetLoad& m_load;
  routing::EndpointHealth& m_health;
  placement::ReplicaMap& m_replicas;
  PermitExchange& m_permits;
  CrashGuard& m_crash_guard;
  EndpointProbe& m_probe;
  RandomEngine& m_random;
  HostMetrics& m_metrics;
  BufferBudget& m_answers;  // Memory for answers and unread output.
  // Returns the budget for repeated sends to a service.
  std::function<admission::RetryBudget&(const ServiceId&)> m_retry_budget;
  std::function<std::size_t()> m_host_count;
  // Whether this host's copy of the keys is recent enough to admit requests
  // with a key.
  std::function<bool()> m_keys_current;
  // The request has started to wait for an endpoint.
  std::function<void(RequestFlow&)> m_on_waiting;
  // Another request waits for an endpoint.
  std::function<void()> m_on_demand_changed;
  // An endpoint has reported that it is about to leave. Its incarnation is
  // given by the Unix time of its start.
  std::function<void(const EndpointId&, std::int64_t started_at_ms)>
      m_on_endpoint_leaving;
  // An endpoint has said for how long it stays cold.
  std::function<void(const EndpointId&, std::int64_t started_at_ms, Duration)>
      m_on_endpoint_cold;
  // An account has used enough tokens that the other hosts need a report ahead
  // of the next regular one.
  std::function<void()> m_on_report_due;
  // The request has ended; the flow is destroyed after the current callback.
  std::function<void(RequestFlow&)> m_on_finished;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_REQUEST_CONTEXT_H_
