// The operators' configuration: routes, services, client accounts and limits.

#ifndef SOURCE_FLEET_CONFIGURATION_H_
#define SOURCE_FLEET_CONFIGURATION_H_

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::fleet {

// Whether a request may be sent to endpoints more than once.
enum class RequestKind {
  kIdempotent,     // May run more than once.
  kNonIdempotent,  // May run at most once.
  kStreaming,      // Event stream; runs at most once unless resumable.
};

constexpr const char* ToText(RequestKind kind) {
  constexpr std::array<const char*, 3> kNames = {"idempotent", "non_idempotent",
                                                 "streaming"};
  return kNames.at(static_cast<std::size_t>(kind));
}

// A service that a route sends requests to, with its relative weight.
struct RouteTarget {
  ServiceId m_service;
  double m_weight = 1;
};

struct Route {
  std::string m_name;
  std::string m_host;
  std::string m_path_prefix;  // Begins and ends with a slash.
  RequestKind m_kind = RequestKind::kNonIdempotent;
  Duration m_timeout{};            // Until the answer is complete.
  Duration m_latency_objective{};  // Until the answer or its first event.
  Duration m_event_gap_objective{};
  int m_priority = 0;       // 0 is the most urgent.
  int m_max_endpoints = 1;  // Most endpoints that one request is sent to.
  bool m_open = false;      // Requests need no API key.
  bool m_resumable = false;
  std::vector<RouteTarget> m_targets;
  // Regions that requests may be sent to; empty: all.
  std::set<RegionId> m_homes;
};

struct ModelSpec {
  // Assumed for adapters whose size is not configured.
  static constexpr double kDefaultAdapterMegabytes = 80;

  double m_megabytes = 0;
  Duration m_load_from_store{};
  Duration m_load_from_disk{};
  Duration m_load_from_memory{};
  int m_adapters = 0;  // Named a1, a2 and so on.
  double m_adapter_megabytes = kDefaultAdapterMegabytes;  // Of each adapter.

  // Returns whether the model has an adapter of that name. Thread-safe.
  bool HasAdapter(const AdapterId& adapter) const {
    const std::string& name = adapter.value();
    if (name.size() < 2 || name[0] != 'a' || name[1] == '0') {
      return false;
    }
    int number = 0;
    const char* end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data() + 1, end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end && number >= 1 &&
           number <= m_adapters;
  }
};

// The model engines of a service.
struct EngineSpec {
  int m_slots = 1;
  double m_megabytes = 0;  // Of one engine, for weights and adapters.
  int m_adapter_slots = 0;
  double m_loads_per_second = 0;  // From the weight store, all engines.
  std::unordered_map<ModelId, ModelSpec> m_models;
};

struct ServiceSpec {
  ServiceId m_id;
  std::string m_health_path;
  int m_max_connections = 0;  // To one endpoint, from all hosts.
  // For how long an endpoint is cold after its start, and how many requests a
  // second it takes meanwhile from all hosts; 0: any number.
  Duration m_cold_start{};
  double m_cold_requests_per_second = 0;
  std::optional<EngineSpec> m_engine;
};

struct Account {
  ClientAccountId m_id;
  std::vector<std::string> m_keys;
  double m_tokens_per_second = 0;  // 0: no limit.
  double m_burst_tokens = 0;
  double m_plain_tokens = 0;  // Charged for a request without a token count.
  // Regions that the account's requests may be sent to; empty: all.
  std::set<RegionId> m_homes;
  std::optional<int> m_priority;  // Overrides the route's priority.
};

// Limits on the size of a request and on the time in which it arrives.
struct CallerLimits {
  std::size_t m_max_header_bytes = 0;
  std::size_t m_max_body_bytes = 0;
  Duration m_header_timeout{};
  Duration m_idle_timeout{};
};

struct Configuration {
  std::int64_t m_version = 0;
  std::vector<Route> m_routes;
  std::unordered_map<ServiceId, ServiceSpec> m_services;
  std::vector<Account> m_accounts;
  CallerLimits m_limits;
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_CONFIGURATION_H_
