#include "placement/retention_policy.h"

#include <algorithm>

namespace hickoryloft::placement {
namespace {

constexpr double kBytesPerGigabyte = 1e9;
constexpr double kNeverUsedWorth = 0;
// The prediction window, as a share of the idle time so far.
constexpr double kLookAheadShare = 0.5;
constexpr Duration kMinLookAhead = seconds(5);
// A replica is loaded ahead of its next use when its return rate, per second,
// is above this value and enough idle times are recorded.
constexpr double kPreWarmRate = 0.05;
constexpr double kPreWarmMinHistory = 4;

Duration LookAhead(Duration idle) {
  return std::max(kMinLookAhead,
                  FromSeconds(ToSeconds(idle) * kLookAheadShare));
}

}  // namespace

void FixedRetentionPolicy::OnUse(const Artifact& artifact, MonotonicTime now) {
  m_last_use[artifact] = now;
}

double FixedRetentionPolicy::Worth(const Artifact& artifact,
                                   std::uint64_t /*bytes*/,
                                   Duration /*load_time*/,
                                   MonotonicTime now) const {
  const auto last = m_last_use.find(artifact);
  if (last == m_last_use.end()) {
    return kNeverUsedWorth;
  }
  return 1 / (1 + ToSeconds(now - last->second));
}

bool FixedRetentionPolicy::ShouldRelease(const Artifact& artifact,
                                         std::uint64_t /*bytes*/,
                                         Duration /*load_time*/,
                                         MonotonicTime now) const {
  const auto last = m_last_use.find(artifact);
  return last != m_last_use.end() && now - last->second > m_keep_time;
}

bool FixedRetentionPolicy::ShouldPreWarm(const Artifact& /*artifact*/,
                                         Duration /*load_time*/,
                                         MonotonicTime /*now*/) const {
  return false;
}

void HistogramRetentionPolicy::OnUse(const Artifact& artifact,
                                     MonotonicTime now) {
  const auto [found, added] = m_histories.try_emplace(artifact);
  History& history = found->second;
  if (!added) {
    history.m_idle_times.Record(now - history.m_last_use);
  }
  history.m_last_use = now;
}

double HistogramRetentionPolicy::Worth(const Artifact& artifact,
                                       std::uint64_t bytes,
                                       Duration load_time,
                                       MonotonicTime now) const {
  const auto found = m_histories.find(artifact);
  if (found == m_histories.end()) {
    return kNeverUsedWorth;
  }
  const Duration idle = now - found->second.m_last_use;
  const double rate =
      found->second.m_idle_times.ReturnRate(idle, LookAhead(idle));
  const double gigabytes =
      std::max(static_cast<double>(bytes) / kBytesPerGigabyte, 1e-3);
  return rate * ToSeconds(load_time) / gigabytes;
}

bool HistogramRetentionPolicy::ShouldRelease(const Artifact& artifact,
                                             std::uint64_t bytes,
                                             Duration load_time,
                                             MonotonicTime now) const {
  const auto found = m_histories.find(artifact);
  if (found == m_histories.end()) {
    return false;
  }
  const Duration idle = now - found->second.m_last_use;
  return idle >= m_settings.m_min_keep &&
         Worth(artifact, bytes, load_time, now) < m_settings.m_min_worth;
}

bool HistogramRetentionPolicy::ShouldPreWarm(const Artifact& artifact,
                                             Duration load_time,
                                             MonotonicTime now) const {
  const auto found = m_histories.find(artifact);
  if (found == m_histories.end() ||
      found->second.m_idle_times.total() < kPreWarmMinHistory) {
    return false;
  }
  const Duration idle = now - found->second.m_last_use;
  return idle >= m_settings.m_min_keep &&
         found->second.m_idle_times.ReturnRate(idle, 2 * load_time) >
             kPreWarmRate;
}

}  // namespace hickoryloft::placement
