// Prefix affinity bounded by load, else power of two random choices.

#ifndef SOURCE_ROUTING_TWO_CHOICES_H_
#define SOURCE_ROUTING_TWO_CHOICES_H_

#include "routing/endpoint_chooser.h"
#include "routing/load_tracker.h"
#include "routing/prefix_table.h"

namespace hickoryloft::routing {

// Sends a prompt to the endpoint that last processed its prefix, as long as
// that endpoint's load stays within kMaxLoadFactor times the mean. Otherwise
// selects two endpoints at random and chooses the less loaded one, so that many
// entries with the same load reports do not all send to the same endpoint.
// `loads` must outlive the chooser.
class TwoChoices : public EndpointChooser {
 public:
  static constexpr double kMaxLoadFactor = 1.25;

  explicit TwoChoices(
      const LoadTracker& loads,
      std::size_t prefix_capacity = PrefixTable::kDefaultCapacity)
      : m_loads(loads), m_prefixes(prefix_capacity) {}

  const EndpointRecord* Choose(
      std::span<const EndpointRecord* const> candidates,
      const PrefixChain& prefix,
      MonotonicTime now,
      RandomEngine& random) override;

 private:
  const EndpointRecord* FindByPrefix(
      std::span<const EndpointRecord* const> candidates,
      const PrefixChain& prefix,
      MonotonicTime now) const;
  const EndpointRecord* ChooseRandom(
      std::span<const EndpointRecord* const> candidates,
      MonotonicTime now,
      RandomEngine& random) const;

  const LoadTracker& m_loads;
  PrefixTable m_prefixes;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_TWO_CHOICES_H_
