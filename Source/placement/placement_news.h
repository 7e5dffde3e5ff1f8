// What the giver of orders announces ahead of engines' registrations.

#ifndef SOURCE_PLACEMENT_PLACEMENT_NEWS_H_
#define SOURCE_PLACEMENT_PLACEMENT_NEWS_H_

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
  kAdapter,  // The engine holds the adapter.
  kLeaving,  // The model is being unloaded.
  kModel,    // The model was loaded lately, or unloaded if it is not held.
};

// One fact about an engine, and whether it holds now. Value type.
struct PlacementChange {
  std::uint64_t m_number = 0;  // Grows under one fence.
  PlacementFact m_fact = PlacementFact::kModel;
  EndpointId m_endpoint;
  ModelId m_model;
  AdapterId m_adapter;  // Of kAdapter only.
  bool m_holds = false;
  friend bool operator==(const PlacementChange&,
                         const PlacementChange&) = default;
};

// Which announcement a host knows: the fence of its giver, and the number of
// the last change. Later ones compare greater.
struct NewsPosition {
  FencingNumber m_fence = 0;
  std::uint64_t m_number = 0;
  friend bool operator==(const NewsPosition&, const NewsPosition&) = default;
  friend std::strong_ordering operator<=>(const NewsPosition& left,
                                          const NewsPosition& right) {
    const std::strong_ordering fences = left.m_fence <=> right.m_fence;
    return std::is_neq(fences) ? fences : left.m_number <=> right.m_number;
  }
};

// What one host tells another. Value type.
struct NewsUpdate {
  NewsPosition m_position;  // After the changes.
  // True: the changes are the whole state. False: those since a position that
  // the receiver has been told of, in order.
  bool m_whole = false;
  std::vector<PlacementChange> m_changes;
};

// The state that the giver of orders announces. Value type.
struct PlacementNews {
  using Adapter = std::tuple<EndpointId, ModelId, AdapterId>;
  using Model = std::pair<EndpointId, ModelId>;

  std::set<Adapter> m_adapters;    // All that are present.
  std::set<Model> m_leaving;       // All models that are being unloaded.
  std::map<Model, bool> m_models;  // Loaded or unloaded lately.
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_PLACEMENT_NEWS_H_
