#include "placement/model_demand.h"

#include <algorithm>
#include <cmath>

namespace hickoryloft::placement {

namespace {

double Decay(Duration passed) {
  return std::exp(-ToSeconds(passed) / ToSeconds(ModelDemand::kRateMemory));
}

}  // namespace

void ModelDemand::TakeReport(const HostId& host,
                             Incarnation incarnation,
                             const std::vector<ModelWant>& wants,
                             MonotonicTime now) {
  Host& known = m_hosts[host];
  if (known.m_incarnation != incarnation) {
    known = {.m_incarnation = incarnation};
  }
  for (auto& [key, counted] : known.m_counts) {
    counted.m_waiting = 0;
  }
  for (const ModelWant& want : wants) {
    const Key key{want.m_service, want.m_model, want.m_adapter};
    Counted& counted = known.m_counts[key];
    counted.m_waiting = want.m_waiting;
    if (want.m_arrivals > counted.m_arrivals) {
      const auto added =
          static_cast<double>(want.m_arrivals - counted.m_arrivals);
      DecayingRate& rate = m_rates[key];
      rate.m_per_second = rate.m_per_second * Decay(now - rate.m_at) +
                          added / ToSeconds(kRateMemory);
      rate.m_at = now;
      counted.m_arrivals = want.m_arrivals;
    }
  }
}

void ModelDemand::RetainHosts(const std::vector<HostId>& hosts) {
  std::erase_if(m_hosts, [&](const auto& known) {
    return std::find(hosts.begin(), hosts.end(), known.first) == hosts.end();
  });
}

int ModelDemand::Waiting(const Key& key) const {
  int waiting = 0;
  for (const auto& [host, known] : m_hosts) {
    const auto counted = known.m_counts.find(key);
    waiting += counted == known.m_counts.end() ? 0 : counted->second.m_waiting;
  }
  return waiting;
}

double ModelDemand::Rate(const Key& key, MonotonicTime now) const {
  const auto rate = m_rates.find(key);
  return rate == m_rates.end()
             ? 0
             : rate->second.m_per_second * Decay(now - rate->second.m_at);
}

std::vector<ModelDemand::Want> ModelDemand::Waiting() const {
  std::map<Key, int> sums;
  for (const auto& [host, known] : m_hosts) {
    for (const auto& [key, counted] : known.m_counts) {
      if (counted.m_waiting > 0) {
        sums[key] += counted.m_waiting;
      }
    }
  }
  std::vector<Want> wants;
  wants.reserve(sums.size());
  for (const auto& [key, waiting] : sums) {
    wants.push_back({.m_key = key, .m_waiting = waiting});
  }
  return wants;
}

}  // namespace hickoryloft::placement
