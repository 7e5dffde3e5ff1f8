#include "placement/model_demand.h"

#include <cmath>
#include <utility>

namespace hickoryloft::placement {

double ModelDemand::Decay(Duration passed) {
  return std::exp(-ToSeconds(passed) / ToSeconds(kRateTimeConstant));
}

void ModelDemand::RecordReport(const HostId& relay,
                               const std::vector<ModelDemandEntry>& entries,
                               MonotonicTime now) {
  std::map<Key, int> waiting;
  for (const ModelDemandEntry& entry : entries) {
    const Key key{entry.m_service, entry.m_model, entry.m_adapter};
    if (entry.m_waiting > 0) {
      waiting[key] = entry.m_waiting;
    }
    if (entry.m_arrivals > 0) {
      DecayingRate& rate = m_rates[key];
      rate.m_per_second = rate.m_per_second * Decay(now - rate.m_at) +
                          entry.m_arrivals / ToSeconds(kRateTimeConstant);
      rate.m_at = now;
    }
  }
  m_waiting.SetLevels(relay, std::move(waiting), now);
}

double ModelDemand::Rate(const Key& key, MonotonicTime now) const {
  const auto rate = m_rates.find(key);
  return rate == m_rates.end()
             ? 0
             : rate->second.m_per_second * Decay(now - rate->second.m_at);
}

std::vector<ModelDemand::PendingDemand> ModelDemand::Waiting() const {
  std::vector<PendingDemand> pending;
  pending.reserve(m_waiting.totals().size());
  for (const auto& [key, waiting] : m_waiting.totals()) {
    pending.push_back({.m_key = key, .m_waiting = waiting});
  }
  return pending;
}

}  // namespace hickoryloft::placement
