// What the requests of one host share.

#ifndef SOURCE_HOST_REQUEST_CONTEXT_H_
#define SOURCE_HOST_REQUEST_CONTEXT_H_

#include <functional>
#include <memory>

#include "admission/retry_budget.h"
#include "base/event_loop.h"
#include "base/random.h"
#include "endpoint/pooled_http_client.h"
#include "fleet/knowledge_feed.h"
#include "fleet/protocols.h"
#include "host/host_metrics.h"
#include "host/host_settings.h"
#include "placement/replica_map.h"
#include "routing/endpoint_health.h"
#include "routing/fleet_load.h"

namespace hickoryloft::host {

class RequestFlow;

// Refers to parts of the daemon, which outlive the requests. Use on the loop's
// thread only.
struct RequestContext {
  EventLoop& m_loop;
  const HostSettings& m_settings;
  const fleet::KnowledgeFeed& m_knowledge;
  const fleet::CallerProtocol& m_protocol;
  endpoint::HttpClient& m_client;
  routing::FleetLoad& m_load;
  routing::EndpointHealth& m_health;
  placement::ReplicaMap& m_replicas;
  RandomEngine& m_random;
  HostMetrics& m_metrics;
  // The budget for second sends to a service.
  std::function<admission::RetryBudget&(const ServiceId&)> m_retry_budget;
  std::function<std::size_t()> m_host_count;
  // Whether requests with a key may be passed on: the host's knowledge of the
  // keys is recent enough.
  std::function<bool()> m_keys_current;
  // The request waits for an endpoint, or has found one.
  std::function<void(RequestFlow&)> m_waiting;
  // A request waits that did not before.
  std::function<void()> m_demand_changed;
  // An endpoint has said that its incarnation, given by the Unix time of its
  // start, is leaving.
  std::function<void(const EndpointId&, std::int64_t started_at_ms)> m_leaving;
  // An account has used so much that the other hosts should know.
  std::function<void()> m_report_due;
  // The request is over; the flow is destroyed after the current callback.
  std::function<void(RequestFlow&)> m_over;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_REQUEST_CONTEXT_H_
