#include "routing/two_choices.h"

#include <cmath>

namespace hickoryloft::routing {

const EndpointRecord* TwoChoices::Choose(
    std::span<const EndpointRecord* const> candidates,
    const PrefixChain& prefix,
    MonotonicTime now,
    RandomEngine& random) {
  const EndpointRecord* chosen = FindByPrefix(candidates, prefix, now);
  if (chosen == nullptr) {
    chosen = ChooseRandom(candidates, now, random);
  }
  m_prefixes.Record(prefix, chosen->m_id);
  return chosen;
}

const EndpointRecord* TwoChoices::FindByPrefix(
    std::span<const EndpointRecord* const> candidates,
    const PrefixChain& prefix,
    MonotonicTime now) const {
  const EndpointId* known = m_prefixes.Find(prefix);
  if (known == nullptr) {
    return nullptr;
  }
  const EndpointRecord* match = nullptr;
  double total = 1;  // The request itself.
  for (const EndpointRecord* candidate : candidates) {
    total += m_loads.Load(candidate->m_id, now);
    if (candidate->m_id == *known) {
      match = candidate;
    }
  }
  if (match == nullptr) {
    return nullptr;
  }
  const double mean = total / static_cast<double>(candidates.size());
  const double limit = std::ceil(kMaxLoadFactor * mean);
  return m_loads.Load(match->m_id, now) + 1 <= limit ? match : nullptr;
}

const EndpointRecord* TwoChoices::ChooseRandom(
    std::span<const EndpointRecord* const> candidates,
    MonotonicTime now,
    RandomEngine& random) const {
  const std::size_t size = candidates.size();
  if (size == 1) {
    return candidates.front();
  }
  const std::size_t first = random() % size;
  const std::size_t step = 1 + random() % (size - 1);
  const EndpointRecord* one = candidates[first];
  const EndpointRecord* other = candidates[(first + step) % size];
  const bool other_is_better =
      m_loads.Load(other->m_id, now) < m_loads.Load(one->m_id, now);
  return other_is_better ? other : one;
}

}  // namespace hickoryloft::routing
