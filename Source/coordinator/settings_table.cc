#include "coordinator/settings_table.h"

#include "base/error.h"
#include "base/random.h"
#include "settings/setting_specs.h"

namespace hickoryloft::coordinator {

namespace {

using settings::MillisSetting;
using settings::PortSetting;
using settings::SettingTable;
using settings::TextSetting;

SettingTable HostSettings() {
  return {
      TextSetting("host.name", "Name of this host, unique in the fleet."),
      TextSetting("host.failure_domain",
                  "Failure domain that this host is in."),
      TextSetting("peer.address",
                  "IP number on which other hosts and the entries reach "
                  "this coordinator.",
                  "127.0.0.1"),
      PortSetting("peer.port", "TCP port for other hosts and the entries.",
                  7400),
      TextSetting("admin.address", "IP number of the operators' interface.",
                  "127.0.0.1"),
      PortSetting("admin.port", "TCP port of the operators' interface.", 7401),
      TextSetting("admin.operator_key_file",
                  "File whose first line is the operators' key; empty: the "
                  "operators' interface refuses every change and read.",
                  ""),
  };
}

SettingTable PlatformSettings() {
  return {
      TextSetting("platform.kind",
                  "etcd: the platform's key-value service; memory: a service "
                  "inside this process, for a single host.",
                  "memory", {"etcd", "memory"}),
      TextSetting("platform.address", "IP number of the key-value service.",
                  "127.0.0.1"),
      PortSetting("platform.port", "TCP port of the key-value service.", 2379),
      MillisSetting("platform.timeout_ms",
                    "Longest wait for an answer of the key-value service, in "
                    "milliseconds.",
                    2000, {50, 60000}),
      TextSetting("host_list.address",
                  "IP number of the host list; empty: there is none.", ""),
      PortSetting("host_list.port", "TCP port of the host list.", 80),
      TextSetting("host_list.path", "Path of the host list.", "/hosts"),
      TextSetting("host_list.file",
                  "File with a fixed host list in the same format, used if "
                  "there is no host_list.address; empty: none.",
                  ""),
      TextSetting("documents.directory",
                  "Directory whose <service>.toml files are stored at start "
                  "if they differ; empty: none.",
                  ""),
  };
}

SettingTable TimeAndLogSettings() {
  return {
      MillisSetting(
          "claims.short_lease_ms",
          "Time to live of the short lease, in milliseconds: a dead host's "
          "claims are taken over after it.",
          9000, {5000, 60000}),
      MillisSetting(
          "claims.long_lease_ms",
          "Time to live of the long lease, in milliseconds: the longest "
          "outage of the key-value service through which claims are kept.",
          660000, {10000, 7200000}),
      MillisSetting(
          "claims.drift_margin_ms",
          "Allowance for the drift between two hosts' clocks over a short "
          "lease, in milliseconds.",
          500, {10, 5000}),
      MillisSetting(
          "claims.settle_ms",
          "How long a host must be a member before claims move to it, in "
          "milliseconds.",
          10000, {0, 600000}),
      MillisSetting(
          "serving.freshness_limit_ms",
          "Longest time without proof that the documents are the newest, "
          "in milliseconds.",
          3000, {2700, 60000}),
      MillisSetting("stop.limit_ms", "Longest planned stop, in milliseconds.",
                    15000, {0, 600000}),
      TextSetting("log.level", "Lowest level that is logged.", "info",
                  {"debug", "info", "warn", "error"}),
      TextSetting("log.format", "Format of the log lines.", "text",
                  {"text", "json"}),
  };
}

}  // namespace

const SettingTable& CoordinatorSettingTable() {
  static const SettingTable kTable = [] {
    SettingTable table = HostSettings();
    for (const SettingTable& part :
         {PlatformSettings(), TimeAndLogSettings()}) {
      table.insert(table.end(), part.begin(), part.end());
    }
    return table;
  }();
  return kTable;
}

CoordinatorSettings ParseCoordinatorSettings(
    const settings::Settings& settings) {
  const milliseconds short_lease = settings.Millis("claims.short_lease_ms");
  const milliseconds long_lease = settings.Millis("claims.long_lease_ms");
  const milliseconds margin = settings.Millis("claims.drift_margin_ms");
  if (long_lease < 2 * short_lease) {
    throw Error(ErrorCode::kInvalidSettings,
                "setting 'claims.long_lease_ms': must be at least twice "
                "'claims.short_lease_ms'");
  }
  if (margin * 4 > short_lease) {
    throw Error(ErrorCode::kInvalidSettings,
                "setting 'claims.drift_margin_ms': must be at most a quarter "
                "of 'claims.short_lease_ms'");
  }
  return {
      .m_self =
          {
              .m_host = HostId(settings.String("host.name")),
              .m_incarnation = RandomBits(),
              .m_failure_domain =
                  FailureDomainId(settings.String("host.failure_domain")),
              .m_address = settings.String("peer.address"),
              .m_port =
                  static_cast<std::uint16_t>(settings.Integer("peer.port")),
          },
      .m_leases = {.m_short_ttl = short_lease, .m_long_ttl = long_lease},
      .m_claims =
          {
              .m_short_ttl = short_lease,
              .m_long_ttl = long_lease,
              .m_drift_margin = margin,
              .m_settle_time = settings.Millis("claims.settle_ms"),
          },
      .m_documents = {.m_freshness_limit =
                          settings.Millis("serving.freshness_limit_ms")},
      .m_stop_limit = settings.Millis("stop.limit_ms"),
  };
}

}  // namespace hickoryloft::coordinator
