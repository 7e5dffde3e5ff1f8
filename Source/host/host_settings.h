// The settings that a host starts with.

#ifndef SOURCE_HOST_HOST_SETTINGS_H_
#define SOURCE_HOST_HOST_SETTINGS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::host {

struct SocketName {
  std::string m_address;  // IP number.
  std::uint16_t m_port = 0;
};

// Returns the address in "IP:PORT". Throws Error(`code`). Thread-safe.
SocketName ParseSocketName(const std::string& text, ErrorCode code);

// Bounds that the platform sets. The defaults apply to those that it leaves
// out.
struct FleetBounds {
  // Time within which a withdrawn key must stop working.
  Duration m_key_withdrawal = seconds(5);
  bool m_strict_withdrawal = true;
  // Time for which a leaving endpoint may still be sent requests.
  Duration m_drain = seconds(2);
  // Time after which no request may reach a failure domain that an operator has
  // asked to empty; nothing if the platform does not bound it.
  std::optional<Duration> m_evacuation;
  // Time from SIGTERM to SIGKILL.
  Duration m_stop_grace = seconds(8);
  double m_retry_ratio = 0.2;  // Repeated sends per request of a window.
  Duration m_retry_window = seconds(10);
  double m_retry_extra = 50;  // Repeated sends per window on top of the ratio.
  // Minimum time between the orders of one placement leader and those of the
  // next.
  Duration m_placement_lease_gap = seconds(3);

  // Returns how old a view of withdrawn keys and of evacuated failure domains
  // may become; nothing: any age.
  std::optional<Duration> ViewBound() const {
    if (!m_strict_withdrawal) {
      return m_evacuation;
    }
    return std::min(m_key_withdrawal, m_evacuation.value_or(m_key_withdrawal));
  }
};

struct HostSettings {
  static constexpr std::size_t kDefaultMemoryLimit = std::size_t{256} << 20;
  // Share of the memory for the answers of endpoints. Freed buffers and copies
  // in the kernel need as much again.
  static constexpr std::size_t kAnswerShare = 8;
  // Share of the memory for the bodies of requests.
  static constexpr std::size_t kBodyShare = 2;

  HostId m_host;
  FailureDomainId m_failure_domain;
  // The region of each failure domain; may lack some.
  std::map<FailureDomainId, RegionId> m_regions;
  double m_capacity = 0;  // Processor cores, for comparison with other hosts.
  // The platform ends a process that uses more memory.
  std::size_t m_memory_limit_bytes = kDefaultMemoryLimit;
  std::string m_address;  // IP number, for other hosts.
  SocketName m_callers;
  SocketName m_readiness;
  SocketName m_metrics;
  std::uint16_t m_peer_port = 0;
  SocketName m_key_value_service;
  Duration m_min_lease{};
  // All hosts start for the first time, so none knows more than this one.
  bool m_first_start = false;
  FleetBounds m_bounds;

  // Returns the region of `domain`, or an empty name if it is unknown.
  RegionId RegionOf(const FailureDomainId& domain) const {
    const auto known = m_regions.find(domain);
    return known == m_regions.end() ? RegionId() : known->second;
  }

  std::size_t answer_bytes() const {
    return m_memory_limit_bytes / kAnswerShare;
  }
  std::size_t body_bytes() const { return m_memory_limit_bytes / kBodyShare; }
};

// Returns the effective settings as JSON, under the product's own names.
// Thread-safe.
std::string ToText(const HostSettings& settings);

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_HOST_SETTINGS_H_
