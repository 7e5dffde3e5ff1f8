#include "host/host_metrics.h"

namespace hickoryloft::host {

HostMetrics::HostMetrics()
    : m_queue_time(m_registry.GetLatency(
          "loft_queue_seconds",
          "Time from a request's last byte to its first send.")),
      m_first_event(m_registry.GetLatency(
          "loft_first_event_seconds",
          "Time from a request's last byte to the first event of its stream.")),
      m_event_gap(m_registry.GetLatency("loft_event_gap_seconds",
                                        "Pause between events of a stream.")),
      m_whole_answer(m_registry.GetLatency(
          "loft_answer_seconds",
          "Time from a request's last byte to the end of its answer.")),
      m_loop_delay(m_registry.GetLatency("loft_loop_delay_seconds",
                                         "How late timers fire.")),
      m_knowledge_age(m_registry.GetGauge(
          "loft_knowledge_age_seconds",
          "For how long changes in the key-value service may be unnoticed.")),
      m_requests_open(m_registry.GetGauge("loft_requests_open",
                                          "Requests that are not over.")),
      m_requests_waiting(
          m_registry.GetGauge("loft_requests_waiting",
                              "Requests that wait for an endpoint.")),
      m_caller_connections(m_registry.GetGauge("loft_caller_connections",
                                               "Open connections of callers.")),
      m_configuration_version(
          m_registry.GetGauge("loft_configuration_version",
                              "The configuration in force.")),
      m_holds_lease(m_registry.GetGauge(
          "loft_holds_placement_lease",
          "1 while this host may give orders to engines.")) {}

void HostMetrics::CountOutcome(const std::string& kind,
                               const std::string& outcome) {
  m_registry
      .GetCounter("loft_requests_total", "Requests that are over.",
                  {{"kind", kind}, {"outcome", outcome}})
      .Add();
}

void HostMetrics::CountRefusal(const std::string& reason) {
  m_registry
      .GetCounter("loft_refusals_total", "Requests that this host refused.",
                  {{"reason", reason}})
      .Add();
}

void HostMetrics::CountSend(bool again) {
  m_registry
      .GetCounter("loft_sends_total", "Requests sent to endpoints.",
                  {{"again", again ? "yes" : "no"}})
      .Add();
}

}  // namespace hickoryloft::host
