// The placement leader's published state as a log of changes, so that other
// hosts are sent only what has changed.

#ifndef SOURCE_PLACEMENT_PLACEMENT_LOG_H_
#define SOURCE_PLACEMENT_PLACEMENT_LOG_H_

#include <deque>
#include <map>
#include <optional>

#include "base/time.h"
#include "placement/placement_state.h"

namespace hickoryloft::placement {

// All hosts at the same version have the same state, whichever path the changes
// took. Not thread-safe; times passed in must not decrease.
class PlacementLog {
 public:
  // Number of changes kept for hosts that lag behind; a host that lags further
  // is sent the full state. At 40 bytes each they take 80 KB at most.
  static constexpr std::size_t kMaxChanges = 2048;
  // How long a load or unload is part of the state; by then the registration
  // shows it.
  static constexpr Duration kModelChangeLifetime = seconds(5);

  // Called by the placement leader under `fence` with the state to publish.
  // Returns whether it differs from the previous state. Has no effect if
  // `fence` is older than the log's.
  bool Publish(FencingNumber fence,
               const PlacementState& state,
               MonotonicTime now);
  // Applies an update from another host. Returns the changes that were applied,
  // in order; empty if all are known or if changes in between are missing.
  std::vector<PlacementChange> ApplyUpdate(const PlacementUpdate& update,
                                           MonotonicTime now);

  PlacementVersion version() const { return m_version; }
  // Returns the update to send to a host that is at version `known`, or nothing
  // if it is up to date.
  std::optional<PlacementUpdate> Since(PlacementVersion known,
                                       MonotonicTime now) const;

  bool HoldsAdapter(const EndpointId& endpoint,
                    const ModelId& model,
                    const AdapterId& adapter) const;
  bool IsUnloading(const EndpointId& endpoint, const ModelId& model) const;

 private:
  struct Fact {
    PlacementFact m_fact;
    EndpointId m_endpoint;
    ModelId m_model;
    AdapterId m_adapter;
    friend bool operator<(const Fact& left, const Fact& right) {
      return std::tie(left.m_fact, left.m_endpoint, left.m_model,
                      left.m_adapter) < std::tie(right.m_fact, right.m_endpoint,
                                                 right.m_model,
                                                 right.m_adapter);
    }
  };
  struct FactState {
    bool m_holds = false;
    MonotonicTime m_since;
  };
  using FactTable = std::map<Fact, FactState>;

  static FactTable FactsOf(const PlacementState& published, MonotonicTime now);
  static PlacementChange ChangeOf(const Fact& fact, bool holds);
  bool Holds(const Fact& fact) const;
  void Append(PlacementChange change, MonotonicTime now);
  void ApplyChange(const PlacementChange& change, MonotonicTime now);

  PlacementVersion m_version;
  // Facts that hold now, and recent loads and unloads.
  FactTable m_facts;
  // The most recent changes; their numbers are consecutive.
  std::deque<PlacementChange> m_changes;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_PLACEMENT_LOG_H_
