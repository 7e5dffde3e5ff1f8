#include "placement/news_log.h"

#include <algorithm>
#include <utility>

namespace hickoryloft::placement {

NewsLog::State NewsLog::StateOf(const PlacementNews& news, MonotonicTime now) {
  State state;
  for (const auto& [endpoint, model, adapter] : news.m_adapters) {
    state[{PlacementFact::kAdapter, endpoint, model, adapter}] = {true, now};
  }
  for (const auto& [endpoint, model] : news.m_leaving) {
    state[{PlacementFact::kLeaving, endpoint, model, {}}] = {true, now};
  }
  for (const auto& [key, present] : news.m_models) {
    state[{PlacementFact::kModel, key.first, key.second, {}}] = {present, now};
  }
  return state;
}

PlacementChange NewsLog::ChangeOf(const Fact& fact, bool holds) {
  return {.m_fact = fact.m_fact,
          .m_endpoint = fact.m_endpoint,
          .m_model = fact.m_model,
          .m_adapter = fact.m_adapter,
          .m_holds = holds};
}

bool NewsLog::Announce(FencingNumber fence,
                       const PlacementNews& state,
                       MonotonicTime now) {
  if (fence < m_position.m_fence) {
    return false;  // The placement lease has expired.
  }
  const State next = StateOf(state, now);
  if (fence != m_position.m_fence) {
    // The log of another leader is not continued: hosts are sent the full
    // state.
    m_position = {.m_fence = fence, .m_number = 1};
    m_changes.clear();
    m_state = next;
    return true;
  }
  const std::uint64_t before = m_position.m_number;
  State gone;
  for (const auto& [fact, known] : m_state) {
    if (!next.contains(fact)) {
      gone.emplace(fact, known);
    }
  }
  for (const auto& [fact, known] : gone) {
    if (fact.m_fact == PlacementFact::kModel) {
      m_state.erase(fact);  // Expires by time at every host.
    } else {
      Append(ChangeOf(fact, false), now);
    }
  }
  for (const auto& [fact, known] : next) {
    const auto last = m_state.find(fact);
    if (last == m_state.end() || last->second.m_holds != known.m_holds) {
      Append(ChangeOf(fact, known.m_holds), now);
    }
  }
  return m_position.m_number != before;
}

void NewsLog::Append(PlacementChange change, MonotonicTime now) {
  change.m_number = ++m_position.m_number;
  Apply(change, now);
}

void NewsLog::Apply(const PlacementChange& change, MonotonicTime now) {
  const Fact fact{change.m_fact, change.m_endpoint, change.m_model,
                  change.m_adapter};
  if (change.m_holds || change.m_fact == PlacementFact::kModel) {
    m_state[fact] = {change.m_holds, now};
  } else {
    m_state.erase(fact);
  }
  m_changes.push_back(change);
  if (m_changes.size() > kMaxChanges) {
    m_changes.pop_front();
  }
}

std::vector<PlacementChange> NewsLog::Take(const NewsUpdate& update,
                                           MonotonicTime now) {
  if (update.m_position <= m_position) {
    return {};
  }
  std::erase_if(m_state, [&](const auto& entry) {
    return entry.first.m_fact == PlacementFact::kModel &&
           now - entry.second.m_since > kModelLife;
  });
  if (update.m_whole) {
    m_state.clear();
    m_changes.clear();
    for (const PlacementChange& change : update.m_changes) {
      m_state[{change.m_fact, change.m_endpoint, change.m_model,
               change.m_adapter}] = {change.m_holds, now};
    }
    m_position = update.m_position;
    return update.m_changes;
  }
  std::vector<PlacementChange> taken;
  for (const PlacementChange& change : update.m_changes) {
    if (update.m_position.m_fence == m_position.m_fence &&
        change.m_number == m_position.m_number + 1) {
      m_position.m_number = change.m_number;
      Apply(change, now);
      taken.push_back(change);
    }
  }
  return taken;
}

std::optional<NewsUpdate> NewsLog::Since(NewsPosition known,
                                         MonotonicTime now) const {
  if (known >= m_position) {
    return std::nullopt;
  }
  NewsUpdate update{.m_position = m_position};
  const bool follows = known.m_fence == m_position.m_fence &&
                       m_position.m_number - known.m_number <= m_changes.size();
  if (follows) {
    const auto count =
        static_cast<std::ptrdiff_t>(m_position.m_number - known.m_number);
    update.m_changes.assign(m_changes.end() - count, m_changes.end());
    return update;
  }
  update.m_whole = true;
  for (const auto& [fact, state] : m_state) {
    if (fact.m_fact != PlacementFact::kModel ||
        now - state.m_since <= kModelLife) {
      update.m_changes.push_back(ChangeOf(fact, state.m_holds));
    }
  }
  return update;
}

bool NewsLog::Holds(const Fact& fact) const {
  const auto known = m_state.find(fact);
  return known != m_state.end() && known->second.m_holds;
}

bool NewsLog::HoldsAdapter(const EndpointId& endpoint,
                           const ModelId& model,
                           const AdapterId& adapter) const {
  return Holds({PlacementFact::kAdapter, endpoint, model, adapter});
}

bool NewsLog::Leaving(const EndpointId& endpoint, const ModelId& model) const {
  return Holds({PlacementFact::kLeaving, endpoint, model, {}});
}

}  // namespace hickoryloft::placement
