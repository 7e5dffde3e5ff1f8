// Maintains the endpoint table: polls the host list and the inventories that
// are assigned to this host, and sends state changes to the other hosts and to
// this host's entries. Load (waiting and running requests) is never sent.

#ifndef SOURCE_COORDINATOR_ENDPOINT_OBSERVER_H_
#define SOURCE_COORDINATOR_ENDPOINT_OBSERVER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "base/log.h"
#include "coordinator/endpoint_table.h"
#include "coordinator/module.h"
#include "endpoint/orders.h"
#include "keyvalue/host_list.h"

namespace hickoryloft::coordinator {

// Receives changes of the endpoint table. Called on the loop's thread.
class EndpointListener {
 public:
  virtual ~EndpointListener() = default;

  virtual void OnEndpointsChanged(const EndpointSet& endpoints) = 0;
  virtual void OnInventory(const EndpointId& endpoint,
                           const endpoint::InventoryReport& report,
                           MonotonicTime requested_at) = 0;
};

// Use on the loop's thread only.
class EndpointObserver {
 public:
  // All arguments must outlive this.
  EndpointObserver(Core& core,
                   endpoint::OrderService& orders,
                   keyvalue::HostList& host_list,
                   EndpointListener& listener);

  const EndpointTable& table() const { return m_table; }
  // Returns whether the endpoints are listed and the state of each engine has
  // been read, or the time limit for that has passed. The entries have been
  // sent the whole table then.
  bool complete() const { return m_complete; }

  // Reads the inventory of a listed endpoint now, unless a read is in progress.
  void FetchInventory(const EndpointId& endpoint);

  void OnTick(MonotonicTime now);
  void OnMembersChanged();
  void OnDocumentsChanged();
  void OnUpdate(const wire::EndpointUpdateT& update);
  // Sends the whole table to a new entry if it is complete. Otherwise OnTick()
  // sends it to all entries later, since an entry may have more recent state
  // than a host that has just started.
  void OnEntryConnected(
      const std::function<void(const wire::EnvelopeT&)>& send) const;

 private:
  struct InventoryPoll {
    bool m_in_flight = false;
    MonotonicTime m_next_poll_at{};
    int m_failures = 0;
  };

  bool PollsHostList() const;
  // Evaluates the condition of complete().
  bool IsComplete(MonotonicTime now) const;
  void SendStateToNewMember(const Member& member);
  bool Observes(const EndpointId& endpoint) const;
  EndpointSet ObservedEndpoints() const;
  void PollHostList();
  void PollInventories(MonotonicTime now);
  void ResendOneEndpoint(MonotonicTime now);
  void HandleInventoryReply(const EndpointId& endpoint,
                            MonotonicTime requested_at,
                            const Result<endpoint::InventoryReport>& reply);
  // Sends the changed endpoints to this host's entries and, with `to_hosts`, to
  // the other hosts, and notifies the listener.
  void Publish(const EndpointSet& changed, bool to_hosts);
  void UpdateDraining();

  Core& m_core;
  endpoint::OrderService& m_orders;
  keyvalue::HostList& m_host_list;
  EndpointListener& m_listener;
  Logger m_log{"endpoints"};
  EndpointTable m_table;
  std::map<EndpointId, InventoryPoll> m_inventory_polls;
  // The members that have been sent this host's share of the state.
  std::map<HostId, Incarnation> m_synced_members;
  bool m_list_in_flight = false;
  bool m_complete = false;  // The entries have been sent the whole table.
  std::optional<MonotonicTime> m_first_listed_at;
  MonotonicTime m_next_list_at{};
  MonotonicTime m_next_resend_at{};
  EndpointId m_last_resent;
  // Expired in callbacks that run after the destruction of this object.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_ENDPOINT_OBSERVER_H_
