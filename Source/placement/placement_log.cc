#include "placement/placement_log.h"

#include <algorithm>
#include <utility>

namespace hickoryloft::placement {

PlacementLog::FactTable PlacementLog::FactsOf(const PlacementState& published,
                                              MonotonicTime now) {
  FactTable facts;
  for (const auto& [endpoint, model, adapter] : published.m_adapters) {
    facts[{PlacementFact::kAdapter, endpoint, model, adapter}] = {true, now};
  }
  for (const auto& [endpoint, model] : published.m_unloading) {
    facts[{PlacementFact::kUnloading, endpoint, model, {}}] = {true, now};
  }
  for (const auto& [key, present] : published.m_models) {
    facts[{PlacementFact::kModel, key.first, key.second, {}}] = {present, now};
  }
  return facts;
}

PlacementChange PlacementLog::ChangeOf(const Fact& fact, bool holds) {
  return {.m_fact = fact.m_fact,
          .m_endpoint = fact.m_endpoint,
          .m_model = fact.m_model,
          .m_adapter = fact.m_adapter,
          .m_holds = holds};
}

bool PlacementLog::Publish(FencingNumber fence,
                           const PlacementState& state,
                           MonotonicTime now) {
  if (fence < m_version.m_fence) {
    return false;  // The placement lease has expired.
  }
  const FactTable next = FactsOf(state, now);
  if (fence != m_version.m_fence) {
    // The log of another leader is not continued: hosts are sent the full
    // state.
    m_version = {.m_fence = fence, .m_number = 1};
    m_changes.clear();
    m_facts = next;
    return true;
  }
  const std::uint64_t before = m_version.m_number;
  FactTable removed;
  for (const auto& [fact, known] : m_facts) {
    if (!next.contains(fact)) {
      removed.emplace(fact, known);
    }
  }
  for (const auto& [fact, known] : removed) {
    if (fact.m_fact == PlacementFact::kModel) {
      m_facts.erase(fact);  // Expires by time at every host.
    } else {
      Append(ChangeOf(fact, false), now);
    }
  }
  for (const auto& [fact, known] : next) {
    const auto last = m_facts.find(fact);
    if (last == m_facts.end() || last->second.m_holds != known.m_holds) {
      Append(ChangeOf(fact, known.m_holds), now);
    }
  }
  return m_version.m_number != before;
}

void PlacementLog::Append(PlacementChange change, MonotonicTime now) {
  change.m_number = ++m_version.m_number;
  ApplyChange(change, now);
}

void PlacementLog::ApplyChange(const PlacementChange& change,
                               MonotonicTime now) {
  const Fact fact{change.m_fact, change.m_endpoint, change.m_model,
                  change.m_adapter};
  if (change.m_holds || change.m_fact == PlacementFact::kModel) {
    m_facts[fact] = {change.m_holds, now};
  } else {
    m_facts.erase(fact);
  }
  m_changes.push_back(change);
  if (m_changes.size() > kMaxChanges) {
    m_changes.pop_front();
  }
}

std::vector<PlacementChange> PlacementLog::ApplyUpdate(
    const PlacementUpdate& update,
    MonotonicTime now) {
  if (update.m_version <= m_version) {
    return {};
  }
  std::erase_if(m_facts, [&](const auto& entry) {
    return entry.first.m_fact == PlacementFact::kModel &&
           now - entry.second.m_since > kModelChangeLifetime;
  });
  if (update.m_is_full_state) {
    m_facts.clear();
    m_changes.clear();
    for (const PlacementChange& change : update.m_changes) {
      m_facts[{change.m_fact, change.m_endpoint, change.m_model,
               change.m_adapter}] = {change.m_holds, now};
    }
    m_version = update.m_version;
    return update.m_changes;
  }
  std::vector<PlacementChange> applied;
  for (const PlacementChange& change : update.m_changes) {
    if (update.m_version.m_fence == m_version.m_fence &&
        change.m_number == m_version.m_number + 1) {
      m_version.m_number = change.m_number;
      ApplyChange(change, now);
      applied.push_back(change);
    }
  }
  return applied;
}

std::optional<PlacementUpdate> PlacementLog::Since(PlacementVersion known,
                                                   MonotonicTime now) const {
  if (known >= m_version) {
    return std::nullopt;
  }
  PlacementUpdate update{.m_version = m_version};
  const bool follows = known.m_fence == m_version.m_fence &&
                       m_version.m_number - known.m_number <= m_changes.size();
  if (follows) {
    const auto count =
        static_cast<std::ptrdiff_t>(m_version.m_number - known.m_number);
    update.m_changes.assign(m_changes.end() - count, m_changes.end());
    return update;
  }
  update.m_is_full_state = true;
  for (const auto& [fact, fact_state] : m_facts) {
    if (fact.m_fact != PlacementFact::kModel ||
        now - fact_state.m_since <= kModelChangeLifetime) {
      update.m_changes.push_back(ChangeOf(fact, fact_state.m_holds));
    }
  }
  return update;
}

bool PlacementLog::Holds(const Fact& fact) const {
  const auto known = m_facts.find(fact);
  return known != m_facts.end() && known->second.m_holds;
}

bool PlacementLog::HoldsAdapter(const EndpointId& endpoint,
                                const ModelId& model,
                                const AdapterId& adapter) const {
  return Holds({PlacementFact::kAdapter, endpoint, model, adapter});
}

bool PlacementLog::IsUnloading(const EndpointId& endpoint,
                               const ModelId& model) const {
  return Holds({PlacementFact::kUnloading, endpoint, model, {}});
}

}  // namespace hickoryloft::placement
