#include "membership/candidate_delay.h"

#include <algorithm>
#include <vector>

#include "base/hashing.h"

namespace hickoryloft::membership {

namespace {

// Candidates try one after the other at this interval.
constexpr Duration kCandidateInterval = milliseconds(150);
// Added to the rank of a leaf, so that it tries after all relays of a fleet of
// usual size.
constexpr std::int64_t kLeafRankOffset = 12;

}  // namespace

Duration CandidateDelay(const HostId& host,
                        const ReportGroups& groups,
                        const std::string& key) {
  std::vector<std::string> names = {host.value()};
  for (const HostId& relay : groups.Relays()) {
    if (relay != host) {
      names.push_back(relay.value());
    }
  }
  const auto order = RendezvousOrder(key, names);
  const auto rank = std::find(order.begin(), order.end(), 0U) - order.begin();
  return kCandidateInterval *
         (groups.IsRelay(host) ? rank : rank + kLeafRankOffset);
}

}  // namespace hickoryloft::membership
