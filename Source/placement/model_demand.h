// The demand for models and adapters, summed over all hosts.

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

// The demand of one group of hosts for a model or one of its adapters.
struct ModelDemandEntry {
  ServiceId m_service;
  ModelId m_model;
  AdapterId m_adapter;    // Empty: the base model.
  int m_waiting = 0;      // Requests that no endpoint can accept now.
  double m_arrivals = 0;  // Requests since the previous report.
};

// Sums the reports of all groups and estimates the arrival rate of each model
// and adapter. Not thread-safe; times passed in must not decrease.
class ModelDemand {
 public:
  // Time constant of the rate's exponential decay: a few times the interval
  // between requests for a rarely used model, so that recent use decides which
  // model is evicted.
  static constexpr Duration kRateTimeConstant = seconds(12);

  // Returns the factor by which a rate has decayed after `passed`.
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
  struct PendingDemand {
    Key m_key;
    int m_waiting = 0;
  };

  // Replaces the previous report of the group of `relay` and adds its arrivals
  // to the rates.
  void RecordReport(const HostId& relay,
                    const std::vector<ModelDemandEntry>& entries,
                    MonotonicTime now);
  // Removes the reports of groups that have stopped reporting. Rates are kept.
  void Expire(MonotonicTime now) { m_waiting.Expire(now); }

  // Returns the number of waiting requests for `key` over all hosts.
  int Waiting(const Key& key) const { return m_waiting.Total(key); }
  // Returns the decayed arrival rate for `key`, in requests per second.
  double Rate(const Key& key, MonotonicTime now) const;
  // Returns all keys that have waiting requests.
  std::vector<PendingDemand> Waiting() const;

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
