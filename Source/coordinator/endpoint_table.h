// What this host knows of the endpoints: the host list's part (address, role,
// failure domain, leaving) and the part that an observer has read from the
// engine itself (replicas, memory, leaving).

#ifndef SOURCE_COORDINATOR_ENDPOINT_TABLE_H_
#define SOURCE_COORDINATOR_ENDPOINT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "endpoint/orders.h"
#include "keyvalue/host_list.h"
#include "messages_generated.h"
#include "placement/types.h"

namespace hickoryloft::coordinator {

// One endpoint. A part with a larger sequence is newer.
struct EndpointEntry {
  wire::EndpointStateT m_state;  // Its `leaving` is that of the engine itself.
  bool m_listed_leaving = false;
  bool m_draining = false;      // By an operators' document.
  std::uint32_t m_waiting = 0;  // Only at hosts that have read the inventory.
  std::uint32_t m_running = 0;
};

using EndpointSet = std::set<EndpointId>;

// Not thread-safe.
class EndpointTable {
 public:
  // Takes the host list. Returns the endpoints that changed, or vanished.
  EndpointSet TakeList(const std::vector<keyvalue::ListedTarget>& targets);
  // Takes news from another host; what is older than known is dropped. Returns
  // the endpoints that changed or vanished.
  EndpointSet TakeUpdate(const wire::EndpointUpdateT& update);
  // Takes a report that this host has read. Returns whether the state changed
  // in more than load.
  bool TakeReport(const EndpointId& id,
                  const endpoint::InventoryReport& report);
  // The engine does not answer. Returns whether that is news.
  bool TakeSilence(const EndpointId& id);
  // Takes the endpoints that documents drain. Returns those that changed.
  EndpointSet TakeDraining(const std::set<EndpointId>& draining);

  const std::map<EndpointId, EndpointEntry>& entries() const {
    return m_entries;
  }
  const EndpointEntry* Find(const EndpointId& id) const;
  // Returns where to reach an endpoint. Precondition: it exists.
  endpoint::EndpointAddress AddressOf(const EndpointId& id) const;

  // Returns the endpoints as an update for other hosts. Those that are not in
  // the table are listed as removed.
  wire::EndpointUpdateT ForHosts(const EndpointSet& ids) const;
  // The same for entries: `leaving` joins all hints, and replicas of an engine
  // that does not answer are unknown. `full` takes all endpoints.
  wire::EndpointUpdateT ForEntries(const EndpointSet& ids) const;
  wire::EndpointUpdateT FullForEntries() const;

  // Returns an engine as placement sees it. Precondition: it exists.
  placement::EndpointView ViewOf(const EndpointId& id) const;

 private:
  bool TakeListed(const wire::EndpointStateT& listed);
  bool TakeState(const wire::EndpointStateT& state);
  static bool IsLeaving(const EndpointEntry& entry);
  wire::EndpointStateT EntryState(const EndpointEntry& entry) const;

  std::map<EndpointId, EndpointEntry> m_entries;
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_ENDPOINT_TABLE_H_
