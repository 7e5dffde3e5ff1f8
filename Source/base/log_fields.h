// The fields that log lines may have. Loggers take no others, and the
// reference page is generated from this table.

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
    {"address", "IP number of a process or of an endpoint"},
    {"after_ms",
     "milliseconds from a request's last byte, or from an order's sending, to "
     "this line"},
    {"all", "whether every claim was released"},
    {"all_models_in_use", "engines on which no model could make way"},
    {"away_ms", "milliseconds without an answer of the key-value service"},
    {"claim", "claim of a coordinator"},
    {"configuration",
     "version of the configuration that a request is handled by"},
    {"count", "lines that were dropped"},
    {"deadline_ms", "milliseconds that the caller waits, as it said"},
    {"endpoint", "id of an endpoint"},
    {"endpoints",
     "how the endpoints of the service stand towards the request's model"},
    {"engine", "id of an endpoint that holds models"},
    {"engines", "usable engines that do not hold the model"},
    {"entry", "name of an entry"},
    {"error", "text of a failure"},
    {"events", "whole events of a stream that have been passed on"},
    {"expected", "host that a connection was made to"},
    {"expected_orders",
     "orders that the engine must have accepted before, else it rejects this "
     "one"},
    {"failure_domain", "failure domain of a host or an endpoint"},
    {"fence", "fencing number of the giver of orders"},
    {"for_ms", "milliseconds that a state lasts"},
    {"found", "host that answered"},
    {"from", "host that sent a message"},
    {"handed_over", "yes if the state came from the holder before"},
    {"holds", "models that the engine's registration lists"},
    {"host", "name of a host"},
    {"id", "id of a request"},
    {"incarnation", "one run of a host's process"},
    {"key", "key in the key-value service"},
    {"lease", "lease in the key-value service"},
    {"left_ms", "milliseconds until the request's deadline"},
    {"may_have_run", "1 if the endpoint may have begun to work on the request"},
    {"members", "hosts of the fleet"},
    {"model", "model"},
    {"occupied", "engines with an order or a target"},
    {"open", "requests that are not over"},
    {"operation", "load or unload"},
    {"order", "number of an order"},
    {"outcome", "what became of a request or an order"},
    {"own_keys", "keys of the system in the key-value service"},
    {"paused", "engines that get no orders for a while, after failures"},
    {"port", "port number"},
    {"reason", "what decided, or what failed"},
    {"removed", "whether a document was removed"},
    {"request", "id of a request or a document"},
    {"requests", "number of requests"},
    {"retry_after_ms",
     "milliseconds after which the caller should come back; 0 for none"},
    {"revision",
     "revision of the key-value service at which the host learned it"},
    {"route", "route of the configuration"},
    {"running",
     "requests at the endpoint then, this one included, as this host knows"},
    {"send", "number of the send, from 1"},
    {"sends", "number of sends"},
    {"service", "service"},
    {"source", "who told this host: an answer or other hosts"},
    {"started_at_ms", "Unix time of an endpoint's start, in milliseconds"},
    {"status", "HTTP status"},
    {"stopping", "1 during a planned stop"},
    {"tier", "where a model is loaded from: host_memory, disk or weight_store"},
    {"tokens", "tokens that the request takes from its account's rate"},
    {"type", "type of a message between hosts"},
    {"version", "version of a configuration or a document"},
    {"view_age_ms",
     "milliseconds for which changes in the key-value service may be "
     "unnoticed; -1 before the first read"},
    {"waited_ms", "milliseconds from a request's last byte to its send"},
    {"waiting", "requests that wait"},
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
