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

// The StableHash of an endpoint's name. Reports name every endpoint of the
// fleet many times a second, so they use numbers of a fixed size.
using EndpointKey = std::uint64_t;
// Each key appears once.
using EndpointLevels = std::vector<std::pair<EndpointKey, int>>;

// Thread-safe.
EndpointKey KeyOf(const EndpointId& endpoint);

// How many requests for a model run at an endpoint. Plain services have an
// empty model.
using EndpointUses = std::map<std::pair<EndpointId, ModelId>, int>;

// This host's own count is exact, the others' as of their last report. Not
// thread-safe; the times given must not decrease.
class FleetLoad {
 public:
  void Begin(const EndpointId& endpoint, const ModelId& model);
  void End(const EndpointId& endpoint, const ModelId& model);

  // Replaces what all other hosts together reported before.
  void TakeOthers(const EndpointLevels& running);
  // Replaces what the group of `relay` reported before of single models. Only
  // the giver of orders is told.
  void TakeGroupUses(const HostId& relay,
                     EndpointUses uses,
                     MonotonicTime now) {
    m_by_model.Take(relay, std::move(uses), now);
  }
  void ExpireGroupUses(MonotonicTime now) { m_by_model.Expire(now); }

  // Requests at the endpoint, from all hosts.
  int Total(const EndpointId& endpoint) const;
  // Requests for one model, by the groups' reports and this host's own count.
  int Total(const EndpointId& endpoint, const ModelId& model) const;
  // Returns this host's own counts, for its report.
  const EndpointUses& own_uses() const { return m_own; }
  const std::unordered_map<EndpointKey, int>& own_totals() const {
    return m_own_totals;
  }

 private:
  EndpointUses m_own;
  std::unordered_map<EndpointKey, int> m_own_totals;
  std::unordered_map<EndpointKey, int> m_others;
  ReportedLevels<EndpointUses::key_type> m_by_model;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_FLEET_LOAD_H_
