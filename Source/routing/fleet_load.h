// Requests in progress at each endpoint, over all hosts.

#ifndef SOURCE_ROUTING_FLEET_LOAD_H_
#define SOURCE_ROUTING_FLEET_LOAD_H_

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace hickoryloft::routing {

// How many requests for a model run at an endpoint. Plain services have an
// empty model.
struct EndpointUse {
  EndpointId m_endpoint;
  ModelId m_model;
  int m_running = 0;
};

// This host's own count is exact, the others' as of their last report. Not
// thread-safe.
class FleetLoad {
 public:
  void Begin(const EndpointId& endpoint, const ModelId& model);
  void End(const EndpointId& endpoint, const ModelId& model);

  // Replaces what `peer` reported before.
  void TakeReport(const HostId& peer, const std::vector<EndpointUse>& uses);
  void ForgetPeer(const HostId& peer);

  int Total(const EndpointId& endpoint) const;
  int Total(const EndpointId& endpoint, const ModelId& model) const;
  // Returns this host's own counts, for its report.
  std::vector<EndpointUse> OwnUses() const;

 private:
  using Counts = std::map<std::pair<EndpointId, ModelId>, int>;

  void Add(const EndpointId& endpoint, const ModelId& model, int amount);

  Counts m_own;
  std::unordered_map<HostId, std::vector<EndpointUse>> m_peers;
  // Sums over all hosts.
  Counts m_by_model;
  std::unordered_map<EndpointId, int> m_totals;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_FLEET_LOAD_H_
