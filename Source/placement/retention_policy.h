// Policies that decide how long an idle replica stays loaded, and when it is
// loaded again ahead of its next use.

#ifndef SOURCE_PLACEMENT_RETENTION_POLICY_H_
#define SOURCE_PLACEMENT_RETENTION_POLICY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"
#include "placement/idle_histogram.h"
#include "placement/types.h"

namespace hickoryloft::placement {

// Serves the artifacts of one shard. Not thread-safe.
class RetentionPolicy {
 public:
  virtual ~RetentionPolicy() = default;

  // Records a use of the artifact by a caller. `now` must not decrease between
  // calls.
  virtual void OnUse(const Artifact& artifact, MonotonicTime now) = 0;

  // Returns the worth of keeping the artifact loaded: the expected cold-start
  // seconds saved per gigabyte-second. The replica with the lowest worth is
  // evicted first.
  virtual double Worth(const Artifact& artifact,
                       std::uint64_t bytes,
                       Duration load_time,
                       MonotonicTime now) const = 0;

  // Returns whether an idle replica should be released now.
  virtual bool ShouldRelease(const Artifact& artifact,
                             std::uint64_t bytes,
                             Duration load_time,
                             MonotonicTime now) const = 0;

  // Returns whether an artifact without a replica should be loaded now, ahead
  // of its predicted next use.
  virtual bool ShouldPreWarm(const Artifact& artifact,
                             Duration load_time,
                             MonotonicTime now) const = 0;
};

// Baseline: keeps a replica for a fixed time after its last use and evicts the
// least recently used one first.
class FixedRetentionPolicy : public RetentionPolicy {
 public:
  explicit FixedRetentionPolicy(Duration keep) : m_keep_time(keep) {}

  void OnUse(const Artifact& artifact, MonotonicTime now) override;
  double Worth(const Artifact& artifact,
               std::uint64_t bytes,
               Duration load_time,
               MonotonicTime now) const override;
  bool ShouldRelease(const Artifact& artifact,
                     std::uint64_t bytes,
                     Duration load_time,
                     MonotonicTime now) const override;
  bool ShouldPreWarm(const Artifact& artifact,
                     Duration load_time,
                     MonotonicTime now) const override;

 private:
  Duration m_keep_time;
  std::map<Artifact, MonotonicTime> m_last_use;
};

struct RetentionSettings {
  // A replica is released when its worth falls below this value, in cold-start
  // seconds saved per gigabyte-second.
  double m_min_worth = 0.001;
  // A replica is never released within this time of its last use, so that it is
  // not unloaded and loaded again in quick succession.
  Duration m_min_keep = seconds(20);
};
inline const RetentionSettings kRetentionDefaults;

// Weighs the expected saving against the memory used, based on a histogram of
// each artifact's idle times.
class HistogramRetentionPolicy : public RetentionPolicy {
 public:
  explicit HistogramRetentionPolicy(const RetentionSettings& settings)
      : m_settings(settings) {}

  void OnUse(const Artifact& artifact, MonotonicTime now) override;
  double Worth(const Artifact& artifact,
               std::uint64_t bytes,
               Duration load_time,
               MonotonicTime now) const override;
  bool ShouldRelease(const Artifact& artifact,
                     std::uint64_t bytes,
                     Duration load_time,
                     MonotonicTime now) const override;
  bool ShouldPreWarm(const Artifact& artifact,
                     Duration load_time,
                     MonotonicTime now) const override;

 private:
  struct History {
    MonotonicTime m_last_use{};
    IdleHistogram m_idle_times;
  };

  RetentionSettings m_settings;
  std::map<Artifact, History> m_histories;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_RETENTION_POLICY_H_
