// The metrics of a host.

#ifndef SOURCE_HOST_HOST_METRICS_H_
#define SOURCE_HOST_HOST_METRICS_H_

#include <string>

#include "metrics/registry.h"

namespace hickoryloft::host {

// Use on the loop's thread only. Labels are routes' kinds, outcomes and
// reasons, so their number is bounded; no request ids, no models.
class HostMetrics {
 public:
  HostMetrics();

  void CountOutcome(const std::string& kind, const std::string& outcome);
  void CountRefusal(const std::string& reason);
  void CountSend(bool again);

  metrics::Registry& registry() { return m_registry; }

 private:
  metrics::Registry m_registry;

 public:
  metrics::Latency& m_queue_time;
  metrics::Latency& m_first_event;
  metrics::Latency& m_event_gap;
  metrics::Latency& m_whole_answer;
  metrics::Latency& m_loop_delay;
  metrics::Gauge& m_knowledge_age;
  metrics::Gauge& m_requests_open;
  metrics::Gauge& m_requests_waiting;
  metrics::Gauge& m_caller_connections;
  metrics::Gauge& m_configuration_version;
  metrics::Gauge& m_holds_lease;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_HOST_METRICS_H_
