// What a relay tells the giver of orders of its group.

#ifndef SOURCE_MEMBERSHIP_GROUP_DEMAND_H_
#define SOURCE_MEMBERSHIP_GROUP_DEMAND_H_

#include <map>

#include "base/ids.h"
#include "base/time.h"
#include "membership/fleet_counts.h"

namespace hickoryloft::membership {

// Sums the levels of the group's hosts, and keeps arrivals until they are
// reported. Not thread-safe; the times given must not decrease.
class GroupDemand {
 public:
  // A host's report; its arrivals are those since the one before.
  void TakeHost(const HostId& host,
                const EngineDemand& demand,
                MonotonicTime now);
  // Drops the levels of hosts that have been silent.
  void Expire(MonotonicTime now);

  // Returns the report to `giver`. The first one to a giver holds what the
  // relay remembers of arrivals, so that a new giver knows the demand at once.
  EngineDemand Report(const HostId& giver, MonotonicTime now);

 private:
  struct Host {
    MonotonicTime m_heard_at;
    EngineDemand m_demand;
  };
  struct Arrivals {
    double m_unreported = 0;
    double m_remembered = 0;  // Decays as the giver's rates do.
    MonotonicTime m_at;
  };

  std::map<HostId, Host> m_hosts;
  std::map<placement::ModelDemand::Key, Arrivals> m_arrivals;
  HostId m_giver;
};

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_GROUP_DEMAND_H_
