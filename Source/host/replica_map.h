// Which endpoints hold a model or an adapter, from registrations and from what
// the giver of orders announces ahead of them.

#ifndef SOURCE_HOST_REPLICA_MAP_H_
#define SOURCE_HOST_REPLICA_MAP_H_

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "base/ids.h"
#include "base/time.h"
#include "fleet/endpoint_entry.h"

namespace hickoryloft::host {

// An announcement of the giver of orders. Value type.
struct PlacementNews {
  using Adapter = std::tuple<EndpointId, ModelId, AdapterId>;
  using Model = std::pair<EndpointId, ModelId>;

  FencingNumber m_fence = 0;
  std::uint64_t m_number = 0;    // Grows under one fence.
  std::set<Adapter> m_adapters;  // All that are present.
  std::set<Model> m_leaving;     // All models that are being unloaded.
  // Models loaded (true) or unloaded (false) lately.
  std::map<Model, bool> m_models;
};

// Not thread-safe; the times given must not decrease.
class ReplicaMap {
 public:
  using Adapter = PlacementNews::Adapter;
  using Model = PlacementNews::Model;

  // An endpoint that proved to lack a model or an adapter is not tried again
  // for this long: the time until announcements have caught up.
  static constexpr Duration kLackPause = milliseconds(400);
  // An announced load or unload goes before the registration for this long:
  // the time until this host has read the registration.
  static constexpr Duration kNewsLife = milliseconds(1500);

  // Takes an announcement, unless it is older than the last one. Returns
  // whether it was taken.
  bool Take(const PlacementNews& news, MonotonicTime now);
  const PlacementNews& news() const { return m_news; }

  void NoteLack(const EndpointId& endpoint,
                const ModelId& model,
                const AdapterId& adapter,
                MonotonicTime now);

  // Whether a request for `adapter` (empty: the model alone) may be sent to
  // the endpoint of `entry`.
  bool Serves(const fleet::EndpointEntry& entry,
              const ModelId& model,
              const AdapterId& adapter,
              MonotonicTime now) const;
  bool Holds(const fleet::EndpointEntry& entry,
             const ModelId& model,
             MonotonicTime now) const;

 private:
  struct Announced {
    bool m_present = false;
    MonotonicTime m_until;
  };

  PlacementNews m_news;
  std::map<Model, Announced> m_announced;
  std::map<Adapter, MonotonicTime> m_lacking_until;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_REPLICA_MAP_H_
