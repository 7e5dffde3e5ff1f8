// The announcements of the giver of orders as a log, so that a partner is sent
// what has changed and not everything again.

#ifndef SOURCE_PLACEMENT_NEWS_LOG_H_
#define SOURCE_PLACEMENT_NEWS_LOG_H_

#include <deque>
#include <map>
#include <optional>

#include "base/time.h"
#include "placement/placement_news.h"

namespace hickoryloft::placement {

// Every host that knows a position has the same state there, by whatever way
// the changes came. Not thread-safe; the times given must not decrease.
class NewsLog {
 public:
  // Changes kept for partners that lag; one that lags more is sent the whole
  // state. At 40 bytes each they take 80 KB at most.
  static constexpr std::size_t kMaxChanges = 2048;
  // A load or an unload is news for this long; later the registration tells.
  static constexpr Duration kModelLife = seconds(5);

  // As the giver of orders under `fence`: takes the state to be announced.
  // Returns whether it differs from the last one. Under an earlier fence than
  // the log's, nothing is taken.
  bool Announce(FencingNumber fence,
                const PlacementNews& state,
                MonotonicTime now);
  // Takes what a partner tells. Returns the changes that are new here, in
  // order; nothing if all is known or something in between is missing.
  std::vector<PlacementChange> Take(const NewsUpdate& update,
                                    MonotonicTime now);

  NewsPosition position() const { return m_position; }
  // Returns what a partner that knows `known` should be told; nothing if it
  // knows everything.
  std::optional<NewsUpdate> Since(NewsPosition known, MonotonicTime now) const;

  bool HoldsAdapter(const EndpointId& endpoint,
                    const ModelId& model,
                    const AdapterId& adapter) const;
  bool Leaving(const EndpointId& endpoint, const ModelId& model) const;

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
  struct Known {
    bool m_holds = false;
    MonotonicTime m_since;
  };
  using State = std::map<Fact, Known>;

  static State StateOf(const PlacementNews& news, MonotonicTime now);
  static PlacementChange ChangeOf(const Fact& fact, bool holds);
  bool Holds(const Fact& fact) const;
  void Append(PlacementChange change, MonotonicTime now);
  void Apply(const PlacementChange& change, MonotonicTime now);

  NewsPosition m_position;
  // Facts that hold, and recent loads and unloads.
  State m_state;
  // The last changes; their numbers are consecutive.
  std::deque<PlacementChange> m_changes;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_NEWS_LOG_H_
