// Which endpoints hold a model or an adapter, from registrations and from what
// the giver of orders announces ahead of them.

#ifndef SOURCE_PLACEMENT_REPLICA_MAP_H_
#define SOURCE_PLACEMENT_REPLICA_MAP_H_

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "fleet/endpoint_entry.h"
#include "placement/news_log.h"

namespace hickoryloft::placement {

// Not thread-safe; the times given must not decrease.
class ReplicaMap {
 public:
  // An endpoint that proved to lack a model or an adapter is not tried again
  // for this long: the time until announcements have caught up.
  static constexpr Duration kLackPause = milliseconds(400);
  // An announced load or unload goes before the registration for this long:
  // the time until this host has read the registration, which a disturbed store
  // passes on late.
  static constexpr Duration kNewsLife = seconds(5);

  // As the giver of orders. Returns whether there is something to tell.
  bool Announce(FencingNumber fence,
                const PlacementNews& state,
                MonotonicTime now);
  // Takes a partner's update. Returns whether it held something new.
  bool Take(const NewsUpdate& update, MonotonicTime now);
  const NewsLog& log() const { return m_log; }

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
  // Returns the endpoints that `model` is announced for, ahead of their
  // registrations or not.
  std::vector<EndpointId> AnnouncedHolders(const ModelId& model) const;

 private:
  struct Announced {
    bool m_present = false;
    MonotonicTime m_until;
  };
  struct OfModel {
    std::map<EndpointId, Announced> m_announced;
    std::map<std::pair<EndpointId, AdapterId>, MonotonicTime> m_lacking_until;
    bool empty() const {
      return m_announced.empty() && m_lacking_until.empty();
    }
  };

  void NoteChanges(const std::vector<PlacementChange>& changes,
                   MonotonicTime now);
  void Forget(MonotonicTime now);

  NewsLog m_log;
  std::unordered_map<ModelId, OfModel> m_models;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_REPLICA_MAP_H_
