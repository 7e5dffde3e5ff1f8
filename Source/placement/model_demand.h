// What callers want of models, over all hosts.

#ifndef SOURCE_PLACEMENT_MODEL_DEMAND_H_
#define SOURCE_PLACEMENT_MODEL_DEMAND_H_

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "routing/reported_levels.h"

namespace hickoryloft::placement {

// One group's demand for a model or an adapter of it.
struct ModelWant {
  ServiceId m_service;
  ModelId m_model;
  AdapterId m_adapter;    // Empty: the model itself.
  int m_waiting = 0;      // Requests that no endpoint can take now.
  double m_arrivals = 0;  // Since the report before.
};

// Sums the groups' reports and keeps the rate of arrivals. Not thread-safe; the
// times given must not decrease.
class ModelDemand {
 public:
  // The memory of the rate: a few times the pause between requests for a
  // rarely used model, so that recent use decides which model makes way.
  static constexpr Duration kRateMemory = seconds(12);

  // Returns the part of a rate's memory that is left after `passed`.
  static double Decay(Duration passed);

  struct Key {
    ServiceId m_service;
    ModelId m_model;
    AdapterId m_adapter;
    friend bool operator<(const Key& left, const Key& right) {
      return std::tie(left.m_service, left.m_model, left.m_adapter) <
             std::tie(right.m_service, right.m_model, right.m_adapter);
    }
  };
  struct Want {
    Key m_key;
    int m_waiting = 0;
  };

  // Replaces what the group of `relay` reported before, and counts its
  // arrivals.
  void TakeReport(const HostId& relay,
                  const std::vector<ModelWant>& wants,
                  MonotonicTime now);
  // Drops the reports of groups that have been silent. Rates are kept.
  void Expire(MonotonicTime now) { m_waiting.Expire(now); }

  // Requests that wait, over all hosts.
  int Waiting(const Key& key) const { return m_waiting.Total(key); }
  // Arrivals a second, lately.
  double Rate(const Key& key, MonotonicTime now) const;
  // All keys for which requests wait.
  std::vector<Want> Waiting() const;

 private:
  struct DecayingRate {
    double m_per_second = 0;
    MonotonicTime m_at;
  };

  routing::ReportedLevels<Key> m_waiting;
  std::map<Key, DecayingRate> m_rates;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_MODEL_DEMAND_H_
