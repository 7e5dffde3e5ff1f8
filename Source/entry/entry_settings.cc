#include "entry/entry_settings.h"

#include "settings/setting_specs.h"

namespace hickoryloft::entry {

namespace {

using settings::IntegerSetting;
using settings::SettingRange;
using settings::SettingSpec;
using settings::SettingTable;
using settings::TextSetting;

constexpr SettingRange kPorts = {0, 65535};
constexpr SettingRange kBytes = {1024, 1 << 30};
constexpr SettingRange kConnections = {1, 1'000'000};
constexpr SettingRange kTokens = {1, 1'000'000};
constexpr SettingRange kRequestCounts = {1, 1'000'000};

SettingSpec Millis(const char* key, const char* help, std::int64_t default_ms) {
  constexpr SettingRange kMillis = {1, 3'600'000};
  return settings::MillisSetting(key, help, default_ms, kMillis);
}

SettingTable HostAndAddressSettings() {
  return {
      TextSetting("host.name", "Name of this host, unique in the fleet.", {}),
      TextSetting("host.failure_domain", "Failure domain of this host.", {}),
      TextSetting("listen.address", "IP number to listen on for callers.",
                  "127.0.0.1"),
      IntegerSetting("listen.port",
                     "Port to listen on for callers; 0 picks one.", 8080,
                     kPorts),
      TextSetting("coordinator.address",
                  "IP number of this host's coordinator.", "127.0.0.1"),
      IntegerSetting("coordinator.port",
                     "Port of the coordinator's inner protocol.", 7400,
                     {1, 65535}),
  };
}

SettingTable LimitSettings() {
  return {
      IntegerSetting("limits.header_bytes", "Largest request header, in bytes.",
                     16384, kBytes),
      IntegerSetting("limits.body_bytes", "Largest request body, in bytes.",
                     1 << 20, kBytes),
      Millis("limits.header_timeout_ms",
             "Time for a whole request, header and body, to arrive.", 10000),
      Millis("limits.idle_timeout_ms",
             "Silence after which an idle connection is closed.", 300000),
      IntegerSetting("limits.connections",
                     "Connections of callers; beyond it, new ones wait.", 20000,
                     kConnections),
      IntegerSetting(
          "limits.stream_buffer_bytes",
          "Bytes waiting for a slow caller that pause the endpoint's stream.",
          65536, kBytes),
      IntegerSetting("dispatch.in_flight_per_endpoint",
                     "Requests of this entry that run at one endpoint.", 64,
                     kRequestCounts),
      IntegerSetting(
          "dispatch.engine_waiting",
          "Estimated requests waiting inside an engine that close it to more "
          "from this entry.",
          4, kRequestCounts),
      IntegerSetting(
          "completion.default_max_tokens",
          "Output tokens reserved for a request that names no max_tokens.", 256,
          kTokens),
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
      TextSetting("policy.chooser", "How an endpoint is chosen.", "two-choices",
                  {"two-choices", "round-robin", "least-reported-load"}),
      TextSetting("policy.queue", "How client accounts share endpoints.",
                  "fair", {"fair", "first-come", "round-robin-accounts"}),
      TextSetting("policy.admission", "How requests are admitted.", "estimate",
                  {"estimate", "queue-limit"}),
      TextSetting("policy.retries", "How failed calls are retried.", "budget",
                  {"budget", "three-tries"}),
      IntegerSetting(
          "policy.queue_limit",
          "Requests ahead that refuse a new one under policy.admission = "
          "queue-limit.",
          100, kRequestCounts),
      TextSetting("log.level", "Least severe level that is logged.", "info",
                  {"debug", "info", "warn", "error"}),
      TextSetting("log.format", "Form of log lines.", "text", {"text", "json"}),
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
    SettingTable table = HostAndAddressSettings();
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
