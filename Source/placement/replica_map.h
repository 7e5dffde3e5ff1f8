// Which endpoints hold a model or an adapter, according to registrations and to
// the placement state, which is ahead of them.

#ifndef SOURCE_PLACEMENT_REPLICA_MAP_H_
#define SOURCE_PLACEMENT_REPLICA_MAP_H_

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "fleet/endpoint_entry.h"
#include "placement/placement_log.h"

namespace hickoryloft::placement {

// Not thread-safe; times passed in must not decrease.
class ReplicaMap {
 public:
  // No requests for a model or an adapter are sent for this time to an endpoint
  // that turned out to lack it: the time until placement updates arrive.
  static constexpr Duration kMissingPause = milliseconds(400);
  // A published load or unload overrides the registration for this time: the
  // time until this host has read the registration, which a disturbed store
  // delivers late.
  static constexpr Duration kUpdateLifetime = seconds(5);

  // Called by the placement leader. Returns whether there are changes to send.
  bool Publish(FencingNumber fence,
               const PlacementState& state,
               MonotonicTime now);
  // Applies an update from another host. Returns whether the version changed.
  bool ApplyUpdate(const PlacementUpdate& update, MonotonicTime now);
  const PlacementLog& log() const { return m_log; }

  // Records that the endpoint turned out to lack the model or the adapter.
  void RecordMissing(const EndpointId& endpoint,
                     const ModelId& model,
                     const AdapterId& adapter,
                     MonotonicTime now);

  // Returns whether a request for `adapter` (empty: the base model) may be sent
  // to the endpoint of `entry`.
  bool Serves(const fleet::EndpointEntry& entry,
              const ModelId& model,
              const AdapterId& adapter,
              MonotonicTime now) const;
  bool Holds(const fleet::EndpointEntry& entry,
             const ModelId& model,
             MonotonicTime now) const;
  // Returns the endpoints that have `model` according to the placement state,
  // whether or not their registrations show it.
  std::vector<EndpointId> PublishedHolders(const ModelId& model) const;

 private:
  struct PublishedModel {
    bool m_present = false;
    MonotonicTime m_until;
  };
  struct ModelState {
    std::map<EndpointId, PublishedModel> m_published;
    std::map<std::pair<EndpointId, AdapterId>, MonotonicTime> m_missing_until;
    bool empty() const {
      return m_published.empty() && m_missing_until.empty();
    }
  };

  void RecordChanges(const std::vector<PlacementChange>& changes,
                     MonotonicTime now);
  void RemoveExpired(MonotonicTime now);

  PlacementLog m_log;
  std::unordered_map<ModelId, ModelState> m_models;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_REPLICA_MAP_H_
