// The fields that log lines may have. Loggers accept no others, and the
// operators' reference page is generated from this table.

#ifndef SOURCE_BASE_LOG_FIELDS_H_
#define SOURCE_BASE_LOG_FIELDS_H_

#include <array>
#include <string_view>

namespace hickoryloft {

struct LogFieldInfo {
  std::string_view m_name;
  std::string_view m_meaning;
};

inline constexpr auto kLogFields = std::to_array<LogFieldInfo>({
    {"account", "client account"},
    {"adapter", "adapter of a model; empty for the model itself"},
    {"address", "IP address of a process or of an endpoint"},
    {"after_ms",
     "milliseconds from the receipt of a request's last byte, or from the "
     "sending of an order, to this line"},
    {"all", "whether every claim was released"},
    {"all_models_in_use",
     "engines on which no model can be evicted because all are in use"},
    {"answer_events", "number of complete stream events in the answer"},
    {"answered_id", "id of the request that an answer names"},
    {"asked_for_ms",
     "milliseconds since this host's own calls to the key-value service began"},
    {"away_ms", "milliseconds since the last answer of the key-value service"},
    {"bytes", "memory of a buffer in bytes"},
    {"claim", "name of a claim of the coordinator"},
    {"configuration",
     "version of the configuration that applies to the request"},
    {"connection",
     "number of a connection to an endpoint, unique within one run of a host's "
     "process"},
    {"count", "number of log lines that were dropped"},
    {"deadline_ms", "milliseconds that the caller allows for the request"},
    {"earlier_calls",
     "number of calls that a connection carried before the current one"},
    {"endpoint", "id of an endpoint"},
    {"endpoints",
     "number of endpoints, or the state of a service's endpoints with respect "
     "to the request's model"},
    {"ends",
     "number of endpoints that ended while they answered requests with the "
     "part"},
    {"engine", "id of an endpoint that serves models"},
    {"engines", "number of usable engines that have not loaded the model"},
    {"entry", "name of an entry"},
    {"era", "number of times that the key-value service has been restored"},
    {"error", "text of an error"},
    {"events", "number of complete stream events that have been forwarded"},
    {"expected", "host to which the connection was opened"},
    {"expected_orders",
     "number of orders that the engine must have accepted before; otherwise it "
     "rejects this one"},
    {"failure_domain", "failure domain of a host or an endpoint"},
    {"fence", "fencing number of the placement leader"},
    {"for_ms", "duration of a state in milliseconds"},
    {"found", "host that answered"},
    {"framed",
     "1 if the answer had a length or chunks, 0 if its end was that of its "
     "connection"},
    {"from", "host that sent a message"},
    {"handed_over",
     "yes if the previous holder of the claim handed over its state"},
    {"holds", "models that the engine's registration lists"},
    {"host", "name of a host"},
    {"id", "id of a request"},
    {"incarnation", "identifier of one run of a host's process"},
    {"issuer", "host that issues the permits of an endpoint"},
    {"key", "key in the key-value service"},
    {"last_id", "id of the last complete event of a stream"},
    {"lease", "lease in the key-value service"},
    {"leaving", "1 if the endpoint has announced that it is leaving"},
    {"left_ms", "milliseconds until the request's deadline"},
    {"may_have_finished",
     "1 if the endpoint may have exited as it announced, after its last "
     "request"},
    {"may_have_run", "1 if the endpoint may have begun to work on the request"},
    {"members", "number of hosts of the fleet"},
    {"model", "model"},
    {"occupied",
     "number of engines with a pending order or a placement target"},
    {"open", "number of requests that have not ended"},
    {"operation", "load or unload"},
    {"order", "number of an order"},
    {"outcome", "outcome of a request, a send or an order"},
    {"own_keys", "number of the system's own keys in the key-value service"},
    {"paused",
     "number of engines that temporarily receive no orders after failures"},
    {"port", "port number"},
    {"prompt_part", "id of a part of a prompt, or fingerprint of a request"},
    {"prompt_parts",
     "ids of the parts of prompts, without each last one, and fingerprints of "
     "requests"},
    {"reason", "reason for a decision or a failure"},
    {"removed", "whether a document was removed"},
    {"request", "id of a request or a document"},
    {"requests", "number of requests"},
    {"requests_per_second",
     "rate at which an endpoint takes requests from all hosts together"},
    {"retry_after_ms",
     "milliseconds after which the caller should retry; 0 if not given"},
    {"revision",
     "key-value service revision at which this host received the value, after "
     "the era if the service counts its restores"},
    {"route", "route of the configuration"},
    {"running",
     "number of requests running at the endpoint at that time, including this "
     "one, as far as this host has received reports"},
    {"seen_by", "hosts that recorded the ends of endpoints"},
    {"send", "number of the send attempt, from 1"},
    {"sends", "number of send attempts"},
    {"service", "service"},
    {"source",
     "source of the information: an answer, this host's own watch or other "
     "hosts"},
    {"started_at_ms", "Unix time of an endpoint's start, in milliseconds"},
    {"status", "HTTP status"},
    {"stopping", "1 during a planned stop"},
    {"tier", "where a model is loaded from: host_memory, disk or weight_store"},
    {"tokens", "tokens charged to the account's rate limit for the request"},
    {"type", "type of a message between hosts"},
    {"unfinished_bytes",
     "bytes of an incomplete stream event at the end of the answer"},
    {"version", "version of a configuration or a document"},
    {"view_age_ms",
     "age of this host's view of the key-value service in milliseconds; later "
     "changes may be missing; -1 before the first read"},
    {"waited_ms",
     "milliseconds from the receipt of a request's last byte to its sending"},
    {"waiting", "number of waiting requests"},
});

// The name of a log field; only names of kLogFields compile.
class LogKey {
 public:
  consteval LogKey(const char* name) : m_name(name) {
    for (const LogFieldInfo& field : kLogFields) {
      if (field.m_name == m_name) {
        return;
      }
    }
    throw "the log field is missing in kLogFields";
  }

  constexpr std::string_view name() const { return m_name; }

 private:
  std::string_view m_name;
};

}  // namespace hickoryloft

#endif  // SOURCE_BASE_LOG_FIELDS_H_
