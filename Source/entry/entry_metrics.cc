#include "entry/entry_metrics.h"

namespace hickoryloft::entry {

namespace {

const char* CauseName(LateCause cause) {
  switch (cause) {
    case LateCause::kColdStart:
      return "cold_start";
    case LateCause::kStore:
      return "store";
    case LateCause::kRate:
      return "rate";
    case LateCause::kEndpoint:
      return "endpoint";
  }
  return "unknown";
}

metrics::Labels AccountAndKind(const ClientAccountId& account,
                               const std::string& kind) {
  return {{"account", account.value()}, {"kind", kind}};
}

}  // namespace

EntryMetrics::EntryMetrics(metrics::Registry& registry)
    : m_registry(registry),
      m_doubled_actions(registry.GetCounter(
          "loft_entry_doubled_actions_total",
          "Non-idempotent requests that this entry was told to run twice.")),
      m_callers_left(registry.GetCounter(
          "loft_entry_callers_left_total",
          "Requests whose caller left before the answer ended.")),
      m_retries(registry.GetCounter("loft_entry_retries_total",
                                    "Calls to endpoints made again.")),
      m_resumes(registry.GetCounter("loft_entry_resumes_total",
                                    "Streams continued after a cut.")),
      m_wrong_ids(registry.GetCounter(
          "loft_entry_wrong_ids_total",
          "Answers discarded because they bore another request's id.")) {}

const RequestSeries& EntryMetrics::Series(const ClientAccountId& account,
                                          const std::string& kind) {
  const auto [found, added] =
      m_series.try_emplace(account.value() + '\n' + kind);
  if (added) {
    const metrics::Labels labels = AccountAndKind(account, kind);
    found->second = {
        .m_requests = &m_registry.GetCounter("loft_entry_requests_total",
                                             "Requests received.", labels),
        .m_completions = &m_registry.GetCounter(
            "loft_entry_completions_total", "Requests answered whole.", labels),
        .m_first_answer = &m_registry.GetLatency(
            "loft_entry_first_answer_seconds",
            "Time from a request to the first byte of its answer.", labels)};
  }
  return found->second;
}

void EntryMetrics::CountRefusal(const ClientAccountId& account,
                                const std::string& kind,
                                ProblemKind reason,
                                bool within_rate) {
  metrics::Labels labels = AccountAndKind(account, kind);
  labels.push_back({"reason", std::string(ProblemName(reason))});
  labels.push_back({"within_rate", within_rate ? "true" : "false"});
  m_registry
      .GetCounter("loft_entry_refusals_total", "Requests refused.", labels)
      .Add();
}

void EntryMetrics::CountUnattributedRefusal(ProblemKind reason) {
  m_registry
      .GetCounter("loft_entry_unattributed_refusals_total",
                  "Requests refused before their account was known.",
                  {{"reason", std::string(ProblemName(reason))}})
      .Add();
}

void EntryMetrics::CountLate(const ClientAccountId& account,
                             const std::string& kind,
                             LateCause cause) {
  metrics::Labels labels = AccountAndKind(account, kind);
  labels.push_back({"cause", CauseName(cause)});
  m_registry
      .GetCounter("loft_entry_late_first_answers_total",
                  "First answers later than the document's objective.", labels)
      .Add();
}

void EntryMetrics::RecordColdStart(const ClientAccountId& account,
                                   Duration first_answer) {
  m_registry
      .GetLatency("loft_entry_cold_start_seconds",
                  "Time to the first answer of requests that waited for a "
                  "replica to load.",
                  {{"account", account.value()}})
      .Record(first_answer);
}

}  // namespace hickoryloft::entry
