#include "coordinator/endpoint_observer.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/hashing.h"
#include "wire/frame.h"

namespace hickoryloft::coordinator {
namespace {

constexpr Duration kListInterval = seconds(1);
// After this time the table counts as complete even if the state of some
// engines has not been read.
constexpr Duration kCompletionTimeout = seconds(3);
constexpr Duration kInventoryInterval = milliseconds(500);
// Consecutive failed reads after which an engine counts as unreachable.
constexpr int kUnreachableAfterFailures = 3;
constexpr std::size_t kListPollersPerDomain = 2;
// All observers together resend the state of about one endpoint per interval,
// to recover from lost notices.
constexpr Duration kResendInterval = seconds(1);
constexpr std::string_view kHostListHashKey = "host-list";

std::vector<std::string> HostNames(const std::vector<Member>& members) {
  std::vector<std::string> names;
  names.reserve(members.size());
  for (const Member& member : members) {
    names.push_back(member.m_host.value());
  }
  return names;
}

}  // namespace

EndpointObserver::EndpointObserver(Core& core,
                                   endpoint::OrderService& orders,
                                   keyvalue::HostList& host_list,
                                   EndpointListener& listener)
    : m_core(core),
      m_orders(orders),
      m_host_list(host_list),
      m_listener(listener) {}

bool EndpointObserver::PollsHostList() const {
  const std::vector<Member>& members = m_core.Members();
  std::size_t ahead = 0;
  for (const std::size_t index :
       RendezvousOrder(kHostListHashKey, HostNames(members))) {
    const Member& member = members[index];
    if (member.m_failure_domain != m_core.Self().m_failure_domain) {
      continue;
    }
    if (member.m_host == m_core.Self().m_host) {
      return ahead < kListPollersPerDomain;
    }
    ++ahead;
  }
  return true;  // This host is not in the member view.
}

bool EndpointObserver::Observes(const EndpointId& endpoint) const {
  const std::vector<Member>& members = m_core.Members();
  if (members.empty()) {
    return true;
  }
  const std::vector<std::size_t> order =
      RendezvousOrder(endpoint.value(), HostNames(members));
  return members[order.front()].m_host == m_core.Self().m_host;
}

EndpointSet EndpointObserver::ObservedEndpoints() const {
  EndpointSet observed;
  for (const auto& [id, entry] : m_table.entries()) {
    if (entry.m_state.kind == wire::EndpointKind::Engine && Observes(id)) {
      observed.insert(id);
    }
  }
  return observed;
}

void EndpointObserver::OnTick(MonotonicTime now) {
  if (!m_complete && IsComplete(now)) {
    m_complete = true;
    m_core.NotifyEntries(wire::MakeEnvelope(m_table.MakeFullEntryUpdate()));
  }
  if (now >= m_next_list_at && !m_list_in_flight &&
      (m_table.entries().empty() || PollsHostList())) {
    m_next_list_at = now + kListInterval;
    PollHostList();
  }
  PollInventories(now);
  ResendOneEndpoint(now);
}

void EndpointObserver::PollHostList() {
  m_list_in_flight = true;
  std::weak_ptr<bool> alive = m_alive;
  m_host_list.Fetch([this,
                     alive](Result<std::vector<keyvalue::ListedTarget>> reply) {
    if (alive.expired()) {
      return;
    }
    m_list_in_flight = false;
    if (!reply.ok()) {
      m_log.Warn("The host list cannot be read; trying again at the next poll.",
                 {{"error", ToString(reply.error().code())}});
      return;
    }
    if (!m_first_listed_at.has_value()) {
      m_first_listed_at = m_core.Now();
    }
    Publish(m_table.ApplyHostList(reply.value()), /*to_hosts=*/true);
    UpdateDraining();
  });
}

void EndpointObserver::PollInventories(MonotonicTime now) {
  for (const auto& [id, entry] : m_table.entries()) {
    if (entry.m_state.kind != wire::EndpointKind::Engine) {
      continue;
    }
    InventoryPoll& poll = m_inventory_polls[id];
    if (now < poll.m_next_poll_at || poll.m_in_flight) {
      continue;
    }
    poll.m_next_poll_at = now + kInventoryInterval;
    if (Observes(id)) {
      FetchInventory(id);
    }
  }
}

void EndpointObserver::ResendOneEndpoint(MonotonicTime now) {
  if (now < m_next_resend_at) {
    return;
  }
  const auto members = static_cast<int>(m_core.Members().size());
  m_next_resend_at = now + kResendInterval * std::max(members, 1);
  const EndpointSet observed = ObservedEndpoints();
  if (observed.empty()) {
    return;
  }
  auto next = observed.upper_bound(m_last_resent);
  if (next == observed.end()) {
    next = observed.begin();
  }
  m_last_resent = *next;
  m_core.NotifyAllHosts(wire::MakeEnvelope(m_table.MakeHostUpdate({*next})));
}

void EndpointObserver::FetchInventory(const EndpointId& endpoint) {
  InventoryPoll& poll = m_inventory_polls[endpoint];
  if (poll.m_in_flight || m_table.Find(endpoint) == nullptr) {
    return;
  }
  poll.m_in_flight = true;
  const MonotonicTime requested_at = m_core.Now();
  std::weak_ptr<bool> alive = m_alive;
  m_orders.FetchInventory(
      m_table.AddressOf(endpoint),
      [this, alive, endpoint,
       requested_at](const Result<endpoint::InventoryReport>& reply) {
        if (!alive.expired()) {
          HandleInventoryReply(endpoint, requested_at, reply);
        }
      });
}

void EndpointObserver::HandleInventoryReply(
    const EndpointId& endpoint,
    MonotonicTime requested_at,
    const Result<endpoint::InventoryReport>& reply) {
  InventoryPoll& poll = m_inventory_polls[endpoint];
  poll.m_in_flight = false;
  if (!reply.ok()) {
    if (++poll.m_failures >= kUnreachableAfterFailures &&
        m_table.MarkUnreachable(endpoint)) {
      m_log.Warn("An engine does not answer; marking it unreachable.",
                 {{"endpoint", endpoint.value()}});
      Publish({endpoint}, /*to_hosts=*/true);
    }
    return;
  }
  poll.m_failures = 0;
  if (m_table.ApplyReport(endpoint, reply.value())) {
    Publish({endpoint}, /*to_hosts=*/true);
  }
  m_listener.OnInventory(endpoint, reply.value(), requested_at);
}

void EndpointObserver::Publish(const EndpointSet& changed, bool to_hosts) {
  if (changed.empty()) {
    return;
  }
  for (const EndpointId& id : changed) {
    if (m_table.Find(id) == nullptr) {
      m_inventory_polls.erase(id);
    }
  }
  m_core.NotifyEntries(wire::MakeEnvelope(m_table.MakeEntryUpdate(changed)));
  if (to_hosts) {
    m_core.NotifyAllHosts(wire::MakeEnvelope(m_table.MakeHostUpdate(changed)));
  }
  m_listener.OnEndpointsChanged(changed);
}

bool EndpointObserver::IsComplete(MonotonicTime now) const {
  if (!m_first_listed_at.has_value()) {
    return false;
  }
  return now - *m_first_listed_at >= kCompletionTimeout ||
         std::all_of(m_table.entries().begin(), m_table.entries().end(),
                     [](const auto& item) {
                       const wire::EndpointStateT& state = item.second.m_state;
                       return state.kind != wire::EndpointKind::Engine ||
                              state.sequence > 0;
                     });
}

void EndpointObserver::OnEntryConnected(
    const std::function<void(const wire::EnvelopeT&)>& send) const {
  if (m_complete) {
    send(wire::MakeEnvelope(m_table.MakeFullEntryUpdate()));
  }
}

void EndpointObserver::OnUpdate(const wire::EndpointUpdateT& update) {
  if (!m_first_listed_at.has_value()) {
    m_first_listed_at = m_core.Now();
  }
  Publish(m_table.ApplyUpdate(update), /*to_hosts=*/false);
  UpdateDraining();
}

void EndpointObserver::SendStateToNewMember(const Member& member) {
  EndpointSet to_send = ObservedEndpoints();
  // A host that polls the host list sends all endpoints to a new member of its
  // failure domain.
  if (member.m_failure_domain == m_core.Self().m_failure_domain &&
      PollsHostList()) {
    for (const auto& [id, entry] : m_table.entries()) {
      to_send.insert(id);
    }
  }
  if (!to_send.empty()) {
    m_core.NotifyHost(member.m_host,
                      wire::MakeEnvelope(m_table.MakeHostUpdate(to_send)));
  }
}

void EndpointObserver::OnMembersChanged() {
  std::map<HostId, Incarnation> synced_members;
  for (const Member& member : m_core.Members()) {
    const auto synced = m_synced_members.find(member.m_host);
    const bool is_new_run = synced == m_synced_members.end() ||
                            synced->second != member.m_incarnation;
    if (is_new_run && member.m_host != m_core.Self().m_host) {
      SendStateToNewMember(member);
    }
    synced_members[member.m_host] = member.m_incarnation;
  }
  m_synced_members = std::move(synced_members);
}

void EndpointObserver::OnDocumentsChanged() {
  UpdateDraining();
}

void EndpointObserver::UpdateDraining() {
  std::set<EndpointId> draining;
  for (const documents::Document& document : m_core.Documents()) {
    draining.insert(document.m_capacity.m_draining.begin(),
                    document.m_capacity.m_draining.end());
  }
  Publish(m_table.SetDraining(draining), /*to_hosts=*/false);
}

}  // namespace hickoryloft::coordinator
