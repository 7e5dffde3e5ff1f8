// The placement state: what the placement leader changed at engines ahead of
// their registrations.

#ifndef SOURCE_PLACEMENT_PLACEMENT_STATE_H_
#define SOURCE_PLACEMENT_PLACEMENT_STATE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace hickoryloft::placement {

enum class PlacementFact : std::uint8_t {
  kAdapter,    // The engine holds the adapter.
  kUnloading,  // The model is being unloaded.
  // The model was loaded or, if m_holds is false, unloaded recently.
  kModel,
};

// One fact about an engine, and whether it holds now. Value type.
struct PlacementChange {
  std::uint64_t m_number = 0;  // Increases under one fencing number.
  PlacementFact m_fact = PlacementFact::kModel;
  EndpointId m_endpoint;
  ModelId m_model;
  AdapterId m_adapter;  // For kAdapter only.
  bool m_holds = false;
  friend bool operator==(const PlacementChange&,
                         const PlacementChange&) = default;
};

// The version of the placement state at a host: the leader's fencing number and
// the number of the last change. Later versions compare greater.
struct PlacementVersion {
  FencingNumber m_fence = 0;
  std::uint64_t m_number = 0;
  friend bool operator==(const PlacementVersion&,
                         const PlacementVersion&) = default;
  friend std::strong_ordering operator<=>(const PlacementVersion& left,
                                          const PlacementVersion& right) {
    const std::strong_ordering fences = left.m_fence <=> right.m_fence;
    return std::is_neq(fences) ? fences : left.m_number <=> right.m_number;
  }
};

// A message with changes of the placement state. Value type.
struct PlacementUpdate {
  PlacementVersion m_version;  // The version after the changes.
  // True: m_changes is the full state. False: the changes since a version that
  // the receiver has reported, in order.
  bool m_is_full_state = false;
  std::vector<PlacementChange> m_changes;
};

// The state that the placement leader publishes. Value type.
struct PlacementState {
  using Adapter = std::tuple<EndpointId, ModelId, AdapterId>;
  using Model = std::pair<EndpointId, ModelId>;

  std::set<Adapter> m_adapters;    // All loaded adapters.
  std::set<Model> m_unloading;     // All models that are being unloaded.
  std::map<Model, bool> m_models;  // Recent loads (true), unloads (false).
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_PLACEMENT_STATE_H_
