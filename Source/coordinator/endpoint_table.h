// The state of the endpoints: data from the host list (address, role, failure
// domain, leaving) and data that an observer has read from the engine itself
// (replicas, memory, leaving).

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

// One endpoint. State with a larger sequence number is newer.
struct EndpointEntry {
  wire::EndpointStateT m_state;  // `leaving` is what the engine reports.
  bool m_listed_leaving = false;
  bool m_draining = false;  // Set by an operators' document.
  // Numbers of requests. Set only at hosts that have read the inventory.
  std::uint32_t m_waiting = 0;
  std::uint32_t m_running = 0;
};

using EndpointSet = std::set<EndpointId>;

// Not thread-safe.
class EndpointTable {
 public:
  // Applies the host list. Returns the endpoints that changed or were removed.
  EndpointSet ApplyHostList(const std::vector<keyvalue::ListedTarget>& targets);
  // Applies an update from another host; engine state that is not newer is
  // ignored. Returns the endpoints that changed or were removed.
  EndpointSet ApplyUpdate(const wire::EndpointUpdateT& update);
  // Applies a report that this host has read. Returns whether anything but the
  // load changed.
  bool ApplyReport(const EndpointId& id,
                   const endpoint::InventoryReport& report);
  // Marks an engine as unreachable. Returns whether it was reachable.
  bool MarkUnreachable(const EndpointId& id);
  // Sets which endpoints the documents drain. Returns those that changed.
  EndpointSet SetDraining(const std::set<EndpointId>& draining);

  const std::map<EndpointId, EndpointEntry>& entries() const {
    return m_entries;
  }
  const EndpointEntry* Find(const EndpointId& id) const;
  // Returns the network address of an endpoint. Precondition: it exists.
  endpoint::EndpointAddress AddressOf(const EndpointId& id) const;

  // Returns the endpoints as an update for other hosts. Those that are not in
  // the table are listed as removed.
  wire::EndpointUpdateT MakeHostUpdate(const EndpointSet& ids) const;
  // The same for entries: `leaving` is set if the engine, the host list or a
  // document says so, and the replicas of an unreachable engine have the phase
  // Unknown.
  wire::EndpointUpdateT MakeEntryUpdate(const EndpointSet& ids) const;
  // Returns all endpoints as a full update for entries.
  wire::EndpointUpdateT MakeFullEntryUpdate() const;

  // Returns the state of an engine for placement. Precondition: it exists.
  placement::EndpointView PlacementViewOf(const EndpointId& id) const;

 private:
  bool ApplyListedState(const wire::EndpointStateT& listed);
  bool ApplyEngineState(const wire::EndpointStateT& state);
  static bool IsLeaving(const EndpointEntry& entry);
  wire::EndpointStateT StateForEntries(const EndpointEntry& entry) const;

  std::map<EndpointId, EndpointEntry> m_entries;
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_ENDPOINT_TABLE_H_
