// What the giver of orders has announced: adapters that are present, and models
// that are being unloaded.

#ifndef SOURCE_HOST_REPLICA_MAP_H_
#define SOURCE_HOST_REPLICA_MAP_H_

#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::host {

// Not thread-safe; the times given must not decrease.
class ReplicaMap {
 public:
  using Adapter = std::tuple<EndpointId, ModelId, AdapterId>;
  using Model = std::pair<EndpointId, ModelId>;

  // An endpoint that proved to lack a model or an adapter is not tried again
  // for this long: the time until announcements have caught up.
  static constexpr Duration kLackPause = milliseconds(400);

  // Replaces the announcements.
  void Set(std::set<Adapter> adapters, std::set<Model> leaving);
  void NoteLack(const EndpointId& endpoint,
                const ModelId& model,
                const AdapterId& adapter,
                MonotonicTime now);

  // Whether a request for `adapter` (empty: the model alone) may be sent to
  // `endpoint`, which holds `model` by its registration.
  bool Serves(const EndpointId& endpoint,
              const ModelId& model,
              const AdapterId& adapter,
              MonotonicTime now) const;

 private:
  std::set<Adapter> m_adapters;
  std::set<Model> m_leaving;
  std::map<Adapter, MonotonicTime> m_lacking_until;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_REPLICA_MAP_H_
