#include "host/host_metrics.h"

#include <unistd.h>

#include <cstdint>
#include <fstream>

#include "base/log.h"

namespace hickoryloft::host {

namespace {

const Logger kLog("metrics");

}  // namespace

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
      m_holds_lease(
          m_registry.GetGauge("loft_holds_placement_lease",
                              "1 while this host may give orders to engines.")),
      m_held_prompt_parts(m_registry.GetGauge(
          "loft_held_prompt_parts",
          "Prompt parts and requests that crash endpoints and are "
          "rejected.")),
      m_evacuated_domains(m_registry.GetGauge(
          "loft_evacuated_domains",
          "Failure domains that operators have asked to empty.")),
      m_evacuated_requests(m_registry.GetGauge(
          "loft_evacuated_requests",
          "Requests of this host that still run in these failure domains.")),
      m_resident_bytes(
          m_registry.GetGauge("loft_resident_bytes", "Memory of the process.")),
      m_answer_bytes(m_registry.GetGauge(
          "loft_answer_bytes",
          "Memory of answers that are received or not read by callers.")),
      m_body_bytes(m_registry.GetGauge(
          "loft_body_bytes",
          "Memory of the bodies of requests that arrive or run.")),
      m_bodies_rejected(m_registry.GetGauge(
          "loft_bodies_rejected",
          "Requests rejected since the start because of the memory of their "
          "bodies.")),
      m_unread_answers(m_registry.GetGauge(
          "loft_unread_answers",
          "Connections closed since the start before their callers had read "
          "the answer.")) {}

void HostMetrics::CountOutcome(const std::string& kind,
                               const ClientAccountId& account,
                               const std::string& outcome) {
  m_registry
      .GetCounter(
          "loft_requests_total", "Requests that are over.",
          {{"kind", kind}, {"account", account.value()}, {"outcome", outcome}})
      .Add();
}

void HostMetrics::CountOrder(const std::string& operation,
                             const std::string& tier,
                             const std::string& outcome) {
  m_registry
      .GetCounter(
          "loft_orders_total", "Orders given to engines.",
          {{"operation", operation}, {"tier", tier}, {"outcome", outcome}})
      .Add();
}

void HostMetrics::SetAccountTokens(const ClientAccountId& account,
                                   double tokens) {
  m_registry
      .GetGauge("loft_account_tokens",
                "Tokens that a client account has left, as this host knows.",
                {{"account", account.value()}})
      .Set(tokens);
}

void HostMetrics::SetRetryBudget(const ServiceId& service, double sends) {
  m_registry
      .GetGauge("loft_retry_budget_sends",
                "Second sends that this host may still make now.",
                {{"service", service.value()}})
      .Set(sends);
}

void HostMetrics::MeasureMemory() {
  // Its first two fields are the total and the resident pages.
  static constexpr char kPath[] = "/proc/self/statm";
  std::ifstream file(kPath);
  std::uint64_t pages = 0;
  std::uint64_t resident = 0;
  if (!(file >> pages >> resident)) {
    kLog.Warn(
        "cannot measure resident memory; loft_resident_bytes keeps its last "
        "value",
        {{"reason", std::string("cannot read ") + kPath}});
    return;
  }
  m_resident_bytes.Set(static_cast<double>(resident) *
                       static_cast<double>(sysconf(_SC_PAGESIZE)));
}

void HostMetrics::CountRefusal(const std::string& reason) {
  m_registry
      .GetCounter("loft_refusals_total", "Requests that this host refused.",
                  {{"reason", reason}})
      .Add();
}

void HostMetrics::CountAnswerOverBudget() {
  m_registry
      .GetCounter("loft_answers_over_budget_total",
                  "Answers ended because all together needed too much memory.")
      .Add();
}

void HostMetrics::CountFailedPlan() {
  m_registry
      .GetCounter("loft_failed_plans_total",
                  "Plans that ended with an error; each is a fault to report.")
      .Add();
}

void HostMetrics::CountSend(bool again) {
  m_registry
      .GetCounter("loft_sends_total", "Requests sent to endpoints.",
                  {{"again", again ? "yes" : "no"}})
      .Add();
}

}  // namespace hickoryloft::host
