#include "entry/entry_settings.h"

namespace hickoryloft::entry {

namespace {

using settings::SettingSpec;
using settings::SettingTable;
using settings::SettingType;
using settings::SettingValue;

constexpr double kMaxPort = 65535;
constexpr double kMaxBytes = 1 << 30;
constexpr double kMaxConnections = 1'000'000;
constexpr double kMaxMillis = 3'600'000;
constexpr double kMaxTokens = 1'000'000;
constexpr double kMaxQueue = 1'000'000;

SettingSpec Text(const char* key,
                 const char* help,
                 std::optional<SettingValue> fallback,
                 std::vector<std::string> allowed = {}) {
  return {.m_key = key,
          .m_type = SettingType::kString,
          .m_help = help,
          .m_default = std::move(fallback),
          .m_allowed = std::move(allowed)};
}

SettingSpec Whole(const char* key,
                  const char* help,
                  std::int64_t fallback,
                  double minimum,
                  double maximum) {
  return {.m_key = key,
          .m_type = SettingType::kInteger,
          .m_help = help,
          .m_default = fallback,
          .m_minimum = minimum,
          .m_maximum = maximum};
}

SettingSpec Millis(const char* key, const char* help, std::int64_t fallback) {
  return {.m_key = key,
          .m_type = SettingType::kMilliseconds,
          .m_help = help,
          .m_default = fallback,
          .m_minimum = 1,
          .m_maximum = kMaxMillis};
}

SettingTable PlaceSettings() {
  return {
      Text("host.name", "Name of this host, unique in the fleet.", {}),
      Text("host.failure_domain", "Failure domain of this host.", {}),
      Text("listen.address", "IP number to listen on for callers.",
           "127.0.0.1"),
      Whole("listen.port", "Port to listen on for callers; 0 picks one.", 8080,
            0, kMaxPort),
      Text("coordinator.address", "IP number of this host's coordinator.",
           "127.0.0.1"),
      Whole("coordinator.port", "Port of the coordinator's inner protocol.",
            7400, 1, kMaxPort),
  };
}

SettingTable LimitSettings() {
  return {
      Whole("limits.header_bytes", "Largest request header, in bytes.", 16384,
            1024, kMaxBytes),
      Whole("limits.body_bytes", "Largest request body, in bytes.", 1 << 20,
            1024, kMaxBytes),
      Millis("limits.header_timeout_ms",
             "Time for a whole request, header and body, to arrive.", 10000),
      Millis("limits.idle_timeout_ms",
             "Silence after which an idle connection is closed.", 300000),
      Whole("limits.connections",
            "Connections of callers; beyond it, new ones wait.", 20000, 1,
            kMaxConnections),
      Whole("limits.stream_buffer_bytes",
            "Bytes waiting for a slow caller that pause the endpoint's stream.",
            65536, 1024, kMaxBytes),
      Whole("dispatch.in_flight_per_endpoint",
            "Requests of this entry that run at one endpoint.", 64, 1,
            kMaxQueue),
      Whole("dispatch.engine_waiting",
            "Estimated requests waiting inside an engine that close it to more "
            "from this entry.",
            4, 1, kMaxQueue),
      Whole("completion.default_max_tokens",
            "Output tokens reserved for a request that names no max_tokens.",
            256, 1, kMaxTokens),
      Millis("endpoint.connect_timeout_ms",
             "Time for a connection to an endpoint.", 1000),
      Millis("endpoint.idle_timeout_ms",
             "Silence of an endpoint after which a call fails.", 30000),
      Millis("action.answer_limit_ms",
             "How long a non-idempotent call may run, also after its caller "
             "has left.",
             60000),
      Millis("drain.balancer_lag_ms",
             "Time from readiness off to refusing new requests, for the "
             "balancer to notice.",
             2000),
      Millis("drain.limit_ms",
             "Time from SIGTERM after which running requests are cut.", 60000),
  };
}

SettingTable PolicySettings() {
  return {
      Text("policy.chooser", "How an endpoint is chosen.", "two-choices",
           {"two-choices", "round-robin", "least-reported-load"}),
      Text("policy.queue", "How client accounts share endpoints.", "fair",
           {"fair", "first-come", "round-robin-accounts"}),
      Text("policy.admission", "How requests are admitted.", "estimate",
           {"estimate", "queue-limit"}),
      Text("policy.retries", "How failed calls are retried.", "budget",
           {"budget", "three-tries"}),
      Whole("policy.queue_limit",
            "Requests ahead that refuse a new one under policy.admission = "
            "queue-limit.",
            100, 1, kMaxQueue),
      Text("log.level", "Least severe level that is logged.", "info",
           {"debug", "info", "warn", "error"}),
      Text("log.format", "Form of log lines.", "text", {"text", "json"}),
  };
}

LogLevel ToLogLevel(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warn") {
    return LogLevel::kWarn;
  }
  return name == "error" ? LogLevel::kError : LogLevel::kInfo;
}

CallerLimits ParseCallerLimits(const settings::Settings& checked) {
  const auto size = [&](const char* key) {
    return static_cast<std::size_t>(checked.Integer(key));
  };
  return {.m_header_bytes = size("limits.header_bytes"),
          .m_body_bytes = size("limits.body_bytes"),
          .m_request_timeout = checked.Millis("limits.header_timeout_ms"),
          .m_idle_timeout = checked.Millis("limits.idle_timeout_ms"),
          .m_connections = size("limits.connections"),
          .m_stream_buffer_bytes = size("limits.stream_buffer_bytes")};
}

SocketSetting ParseSocket(const settings::Settings& checked,
                          const std::string& section) {
  return {
      .m_address = checked.String(section + ".address"),
      .m_port = static_cast<std::uint16_t>(checked.Integer(section + ".port"))};
}

}  // namespace

const settings::SettingTable& EntrySettingTable() {
  static const SettingTable kTable = [] {
    SettingTable table = PlaceSettings();
    for (const SettingTable& part : {LimitSettings(), PolicySettings()}) {
      table.insert(table.end(), part.begin(), part.end());
    }
    return table;
  }();
  return kTable;
}

EntrySettings ParseEntrySettings(const settings::Settings& checked) {
  return {
      .m_listen = ParseSocket(checked, "listen"),
      .m_coordinator = ParseSocket(checked, "coordinator"),
      .m_host = HostId(checked.String("host.name")),
      .m_failure_domain =
          FailureDomainId(checked.String("host.failure_domain")),
      .m_caller = ParseCallerLimits(checked),
      .m_dispatch = {.m_in_flight = static_cast<std::uint32_t>(
                         checked.Integer("dispatch.in_flight_per_endpoint")),
                     .m_engine_waiting = static_cast<double>(
                         checked.Integer("dispatch.engine_waiting"))},
      .m_drain = {.m_balancer_lag = checked.Millis("drain.balancer_lag_ms"),
                  .m_limit = checked.Millis("drain.limit_ms")},
      .m_policy = {.m_chooser = checked.String("policy.chooser"),
                   .m_queue = checked.String("policy.queue"),
                   .m_admission = checked.String("policy.admission"),
                   .m_retries = checked.String("policy.retries"),
                   .m_queue_limit = static_cast<std::size_t>(
                       checked.Integer("policy.queue_limit"))},
      .m_default_max_tokens = static_cast<std::uint64_t>(
          checked.Integer("completion.default_max_tokens")),
      .m_endpoint_connect_timeout =
          checked.Millis("endpoint.connect_timeout_ms"),
      .m_endpoint_idle_timeout = checked.Millis("endpoint.idle_timeout_ms"),
      .m_action_answer_limit = checked.Millis("action.answer_limit_ms"),
      .m_log_level = ToLogLevel(checked.String("log.level")),
      .m_log_format = checked.String("log.format") == "json" ? LogFormat::kJson
                                                             : LogFormat::kText,
  };
}

}  // namespace hickoryloft::entry
