#include "placement/model_demand.h"

#include <cmath>
#include <utility>

namespace hickoryloft::placement {

double ModelDemand::Decay(Duration passed) {
  return std::exp(-ToSeconds(passed) / ToSeconds(kRateMemory));
}

void ModelDemand::AddWaiting(const std::map<Key, int>& waiting, int sign) {
  for (const auto& [key, count] : waiting) {
    const auto sum = m_waiting.try_emplace(key, 0).first;
    if ((sum->second += sign * count) == 0) {
      m_waiting.erase(sum);
    }
  }
}

void ModelDemand::TakeReport(const HostId& relay,
                             const std::vector<ModelWant>& wants,
                             MonotonicTime now) {
  std::map<Key, int> waiting;
  for (const ModelWant& want : wants) {
    const Key key{want.m_service, want.m_model, want.m_adapter};
    if (want.m_waiting > 0) {
      waiting[key] = want.m_waiting;
    }
    if (want.m_arrivals > 0) {
      DecayingRate& rate = m_rates[key];
      rate.m_per_second = rate.m_per_second * Decay(now - rate.m_at) +
                          want.m_arrivals / ToSeconds(kRateMemory);
      rate.m_at = now;
    }
  }
  Group& group = m_groups[relay];
  AddWaiting(group.m_waiting, -1);
  AddWaiting(waiting, 1);
  group = {.m_heard_at = now, .m_waiting = std::move(waiting)};
}

void ModelDemand::Expire(MonotonicTime now) {
  std::erase_if(m_groups, [&](const auto& entry) {
    if (now - entry.second.m_heard_at <= kWaitingLife) {
      return false;
    }
    AddWaiting(entry.second.m_waiting, -1);
    return true;
  });
}

int ModelDemand::Waiting(const Key& key) const {
  const auto waiting = m_waiting.find(key);
  return waiting == m_waiting.end() ? 0 : waiting->second;
}

double ModelDemand::Rate(const Key& key, MonotonicTime now) const {
  const auto rate = m_rates.find(key);
  return rate == m_rates.end()
             ? 0
             : rate->second.m_per_second * Decay(now - rate->second.m_at);
}

std::vector<ModelDemand::Want> ModelDemand::Waiting() const {
  std::vector<Want> wants;
  wants.reserve(m_waiting.size());
  for (const auto& [key, waiting] : m_waiting) {
    wants.push_back({.m_key = key, .m_waiting = waiting});
  }
  return wants;
}

}  // namespace hickoryloft::placement
