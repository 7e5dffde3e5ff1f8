// Requests in progress at each endpoint, over all hosts.

#ifndef SOURCE_ROUTING_FLEET_LOAD_H_
#define SOURCE_ROUTING_FLEET_LOAD_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "routing/reported_levels.h"

namespace hickoryloft::routing {

// StableHash of an endpoint's name. Reports list every endpoint of the fleet
// many times a second, so they use keys of a fixed size instead of names.
using EndpointKey = std::uint64_t;
// A count per endpoint; each key appears once.
using EndpointLevels = std::vector<std::pair<EndpointKey, int>>;

// Returns the key of `endpoint`. Thread-safe.
EndpointKey KeyOf(const EndpointId& endpoint);

// Number of requests in progress, by endpoint and model. The model is empty for
// plain services.
using ModelLevels = std::map<std::pair<EndpointId, ModelId>, int>;

// This host's own counts are exact, those of other hosts are as of their last
// report. Not thread-safe; the times passed in must not decrease.
class FleetLoad {
 public:
  void Begin(const EndpointId& endpoint, const ModelId& model);
  void End(const EndpointId& endpoint, const ModelId& model);

  // Replaces the sums over all other hosts.
  void SetOthers(const EndpointLevels& running);
  // Replaces the counts by model of the group of `relay`. Only the placement
  // leader receives these.
  void SetGroupLevels(const HostId& relay,
                      ModelLevels uses,
                      MonotonicTime now) {
    m_by_model.SetLevels(relay, std::move(uses), now);
  }
  void ExpireGroupLevels(MonotonicTime now) { m_by_model.Expire(now); }

  // Returns the requests in progress at the endpoint, from all hosts.
  int Total(const EndpointId& endpoint) const;
  // Returns the requests in progress for one model: the groups' reports, or
  // this host's own count if that is greater.
  int Total(const EndpointId& endpoint, const ModelId& model) const;
  // Return this host's own counts, for its report.
  const ModelLevels& own_model_levels() const { return m_own; }
  const std::unordered_map<EndpointKey, int>& own_endpoint_levels() const {
    return m_own_totals;
  }

 private:
  ModelLevels m_own;
  std::unordered_map<EndpointKey, int> m_own_totals;
  std::unordered_map<EndpointKey, int> m_others;
  ReportedLevels<ModelLevels::key_type> m_by_model;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_FLEET_LOAD_H_
