// The metrics of a host.

#ifndef SOURCE_HOST_HOST_METRICS_H_
#define SOURCE_HOST_HOST_METRICS_H_

#include <string>

#include "base/ids.h"
#include "metrics/registry.h"

namespace hickoryloft::host {

// Labels are kinds of routes, client accounts, services, outcomes and reasons,
// but never request ids or models, so the number of time series is bounded. Use
// on the loop's thread only.
class HostMetrics {
 public:
  HostMetrics();

  void CountOutcome(const std::string& kind,
                    const ClientAccountId& account,
                    const std::string& outcome);
  // `tier` is empty for orders that load no model.
  void CountOrder(const std::string& operation,
                  const std::string& tier,
                  const std::string& outcome);
  // Sets the tokens that an account has left according to this host's copy of
  // its rate.
  void SetAccountTokens(const ClientAccountId& account, double tokens);
  // Sets the number of repeated sends that this host may make now.
  void SetRetryBudget(const ServiceId& service, double sends);
  // Sets the gauge of resident memory to the value that the kernel reports.
  void MeasureMemory();
  void CountRefusal(const std::string& reason);
  void CountSend(bool again);
  void CountAnswerOverBudget();
  void CountFailedPlan();

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
  metrics::Gauge& m_held_prompt_parts;
  metrics::Gauge& m_evacuated_domains;
  metrics::Gauge& m_evacuated_requests;
  metrics::Gauge& m_resident_bytes;
  metrics::Gauge& m_answer_bytes;
  metrics::Gauge& m_body_bytes;
  metrics::Gauge& m_bodies_rejected;
  metrics::Gauge& m_unread_answers;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_HOST_METRICS_H_
