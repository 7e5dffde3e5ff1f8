#include "host/host_settings.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "base/socket_address.h"

namespace hickoryloft::host {

namespace {

std::string ToText(const SocketName& socket) {
  return socket.m_address + ":" + std::to_string(socket.m_port);
}

}  // namespace

SocketName ParseSocketName(const std::string& text, ErrorCode code) {
  const std::size_t colon = text.rfind(':');
  SocketName name;
  if (colon != std::string::npos) {
    const char* end = text.data() + text.size();
    const auto parsed =
        std::from_chars(text.data() + colon + 1, end, name.m_port);
    name.m_address = text.substr(0, colon);
    if (parsed.ec == std::errc{} && parsed.ptr == end && name.m_port != 0 &&
        IsIpNumber(name.m_address)) {
      return name;
    }
  }
  throw Error(code,
              "\"" + text + "\" must be IP:PORT with a port from 1 to 65535");
}

std::string ToText(const HostSettings& settings) {
  const FleetBounds& bounds = settings.m_bounds;
  nlohmann::ordered_json regions = nlohmann::ordered_json::object();
  for (const auto& [domain, region] : settings.m_regions) {
    regions[domain.value()] = region.value();
  }
  const nlohmann::ordered_json json = {
      {"host", settings.m_host.value()},
      {"failure_domain", settings.m_failure_domain.value()},
      {"regions", regions},
      {"capacity_cores", settings.m_capacity},
      {"memory_limit_bytes", settings.m_memory_limit_bytes},
      {"address", settings.m_address},
      {"callers", ToText(settings.m_callers)},
      {"readiness", ToText(settings.m_readiness)},
      {"metrics", ToText(settings.m_metrics)},
      {"peer_port", settings.m_peer_port},
      {"key_value_service", ToText(settings.m_key_value_service)},
      {"min_lease_ms", ToMillis(settings.m_min_lease).count()},
      {"first_start", settings.m_first_start},
      {"bounds",
       {{"key_withdrawal_ms", ToMillis(bounds.m_key_withdrawal).count()},
        {"strict_withdrawal", bounds.m_strict_withdrawal},
        {"drain_ms", ToMillis(bounds.m_drain).count()},
        {"evacuation_ms",
         bounds.m_evacuation
             ? nlohmann::ordered_json(ToMillis(*bounds.m_evacuation).count())
             : nlohmann::ordered_json()},
        {"stop_grace_ms", ToMillis(bounds.m_stop_grace).count()},
        {"retry_ratio", bounds.m_retry_ratio},
        {"retry_window_ms", ToMillis(bounds.m_retry_window).count()},
        {"retry_extra", bounds.m_retry_extra},
        {"holder_gap_ms", ToMillis(bounds.m_placement_lease_gap).count()}}}};
  return json.dump(2);
}

}  // namespace hickoryloft::host
