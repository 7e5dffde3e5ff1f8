// Whether a host may serve callers, by what it knows of the configuration.

#ifndef SOURCE_HOST_READINESS_H_
#define SOURCE_HOST_READINESS_H_

#include <cstdint>

#include "base/event_loop.h"
#include "fleet/fleet_state_feed.h"
#include "host/host_settings.h"

namespace hickoryloft::host {

// A host that has started asks the other hosts before it trusts its
// configuration, since the key-value service may have been restored from an
// older copy. Use on the loop's thread only.
class Readiness {
 public:
  // The references must outlive the object.
  Readiness(EventLoop& loop,
            const HostSettings& settings,
            const fleet::FleetStateFeed& knowledge);

  // Records the version of the configuration that another host has stated; 0 if
  // it has none.
  void RecordPeerConfiguration(std::int64_t version);

  // Whether the host's view is recent enough to admit requests with a key: it
  // lacks no withdrawal and no evacuation whose bound is over.
  bool KeysCurrent() const;
  // Whether the host accepts new connections. Logs a change.
  bool Ready(bool stopping);

 private:
  bool ConfigurationConfirmed() const;
  // Whether the view's age is below `share` of the bound on it.
  bool AgeBelow(double share) const;

  EventLoop& m_loop;
  const HostSettings& m_settings;
  const fleet::FleetStateFeed& m_knowledge;
  MonotonicTime m_started_at;
  // Another host has confirmed this host's configuration.
  bool m_peer_confirmed = false;
  bool m_was_ready = false;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_READINESS_H_
