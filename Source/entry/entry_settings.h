// The settings of loft-entry.

#ifndef SOURCE_ENTRY_ENTRY_SETTINGS_H_
#define SOURCE_ENTRY_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/log.h"
#include "base/time.h"
#include "settings/setting_table.h"

namespace hickoryloft::entry {

// A numeric IP address and a port.
struct SocketSetting {
  std::string m_address;
  std::uint16_t m_port = 0;
};

// Bounds on what callers may send and hold.
struct CallerLimits {
  std::size_t m_header_bytes = 0;
  std::size_t m_body_bytes = 0;
  Duration m_request_timeout{};  // For a complete request to arrive.
  Duration m_idle_timeout{};     // Silence between requests.
  std::size_t m_connections = 0;
  std::size_t m_stream_buffer_bytes = 0;  // Unsent bytes that pause a stream.
};

// Limits at which an endpoint gets no more requests from this entry.
struct DispatchLimits {
  std::uint32_t m_in_flight = 0;  // Running requests per endpoint.
  double m_engine_waiting = 0;    // Estimated requests queued in the engine.
};

struct DrainLimits {
  Duration m_balancer_lag{};  // From not ready to refusing new requests.
  Duration m_limit{};         // From the signal to ending running requests.
};

// Names of the selected policies.
struct PolicyNames {
  std::string m_chooser;
  std::string m_queue;
  std::string m_admission;
  std::string m_retries;
  std::size_t m_queue_limit = 0;
};

struct EntrySettings {
  SocketSetting m_listen;
  SocketSetting m_coordinator;
  HostId m_host;
  FailureDomainId m_failure_domain;
  CallerLimits m_caller;
  DispatchLimits m_dispatch;
  DrainLimits m_drain;
  PolicyNames m_policy;
  std::uint64_t m_default_max_tokens = 0;
  Duration m_endpoint_connect_timeout{};
  Duration m_endpoint_idle_timeout{};
  Duration m_action_answer_limit{};
  LogLevel m_log_level = LogLevel::kInfo;
  LogFormat m_log_format = LogFormat::kText;
};

// Returns the table of all settings. Thread-safe.
const settings::SettingTable& EntrySettingTable();

// Returns the values of `checked`, which must have been parsed with
// EntrySettingTable().
// Thread-safe.
EntrySettings ParseEntrySettings(const settings::Settings& checked);

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_ENTRY_SETTINGS_H_
