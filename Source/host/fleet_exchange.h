// Exchanges reports with the other hosts. Hosts form groups: the leaves of a
// group report to its relay, and the relays report to each other.

#ifndef SOURCE_HOST_FLEET_EXCHANGE_H_
#define SOURCE_HOST_FLEET_EXCHANGE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "base/event_loop.h"
#include "fleet/change_log.h"
#include "host/peer_links.h"
#include "membership/group_demand.h"
#include "membership/report_aggregator.h"
#include "membership/report_groups.h"
#include "placement/placement_state.h"

namespace hickoryloft::host {

// Sums over all other hosts; this host's own levels and counts are left out.
struct OtherHostsView {
  membership::FleetCounts m_counts;
  // Changes whenever the counts restart from zero.
  std::uint64_t m_epoch = 0;
  std::size_t m_silent_hosts = 0;
  std::size_t m_hosts = 1;  // Including this one.
};

// What a host knows of the key-value service's data.
struct StoreKnowledge {
  Revision m_revision = 0;           // 0 before the first read.
  std::int64_t m_configuration = 0;  // Version; 0 if it has none.
};

// What this host knows of it, and how current that is.
struct StoreFreshness {
  StoreKnowledge m_known;
  Duration m_age{};  // Changes of this last period may be missing.
};

// A lost report makes decisions worse but never wrong, and only until the next
// regular report, which holds the complete state. Use on the loop's thread
// only.
class FleetExchange {
 public:
  struct Events {
    // Returns this host's own levels and counts.
    std::function<membership::FleetCounts()> m_own_counts;
    // Returns this host's demand for models, with the arrivals since the
    // previous call.
    std::function<membership::EngineDemand()> m_collect_own_demand;
    // The sums over the other hosts have changed.
    std::function<void(const OtherHostsView&)> m_on_other_hosts;
    // Receives the demand of a group. Called at the placement leader only.
    std::function<void(const HostId& relay, membership::EngineDemand demand)>
        m_on_group_demand;
    // Applies a placement update. Returns whether it changed anything.
    std::function<bool(const placement::PlacementUpdate&)>
        m_apply_placement_update;
    // Returns the update for a host that has received version `known`; nothing
    // if it lacks nothing.
    std::function<std::optional<placement::PlacementUpdate>(
        placement::PlacementVersion known)>
        m_placement_update_since;
    std::function<placement::PlacementVersion()> m_placement_version;
    // Returns how current this host's copy of the key-value data is.
    std::function<StoreFreshness()> m_store_freshness;
    // Returns the key-value changes after revision `known`, if this host has
    // them.
    std::function<std::optional<fleet::ChangeSpan>(Revision known)>
        m_store_changes_since;
    // Receives what another host has stated of its knowledge.
    std::function<void(const StoreKnowledge&)> m_on_peer_knowledge;
    // Receives key-value changes from this host's relay.
    std::function<void(const fleet::ChangeSpan&)> m_on_store_changes;
    // Receives the relay's confirmation that `revision` was complete at the
    // time `as_of`.
    std::function<void(Revision revision, MonotonicTime as_of)>
        m_on_store_confirmation;
  };

  // Throws Error(kIo) if `port` of `address` cannot be bound.
  FleetExchange(EventLoop& loop,
                HostId host,
                membership::MemberInfo facts,
                std::uint64_t epoch,
                const std::string& address,
                std::uint16_t port,
                Events events);

  // Sets the members of the fleet except this host, and forms the groups.
  void SetPeers(const std::map<HostId, PeerAddress>& peers);
  const std::map<HostId, PeerAddress>& peers() const { return m_links.peers(); }
  const membership::ReportGroups& groups() const { return m_groups; }
  // Whether other hosts receive key-value changes through this one.
  bool relays_changes() const { return m_aggregator.GroupHosts() > 1; }
  // Sets the host that holds the placement lease according to this host's view;
  // relays report their groups' demand to it. Empty if there is none.
  void SetPlacementLeader(const HostId& leader) { m_placement_leader = leader; }

  // Sends a message to another host, directly; it may be lost.
  void Send(const HostId& peer, const wire::EnvelopeT& message) {
    m_links.Send(peer, message);
  }
  // Sets the receiver of the messages that this class does not handle itself.
  void SetOtherMessageHandler(
      std::function<void(const wire::EnvelopeT&)> handler) {
    m_on_other_message = std::move(handler);
  }

  // What is sent ahead of the next regular report, and to which hosts. Bits of
  // the `urgent` field of reports.
  enum UrgentTopic : std::uint8_t {
    kDemand = 1,     // A request started to wait; to the placement leader.
    kPlacement = 2,  // The placement state changed; to all hosts.
    kAccounts = 4,   // An account used many tokens; to all hosts.
  };
  void ScheduleUrgentReport(UrgentTopic topic);

  // Sends the key-value changes that this host's own watch received to the
  // hosts that report to it.
  void SendChangesToLeaves();

 private:
  struct SentReport {
    std::uint64_t m_number = 0;
    MonotonicTime m_at;
    membership::FleetCounts m_counts;
  };

  // What was sent to a peer on one connection to it.
  struct PeerSyncState {
    std::uint64_t m_connection = 0;
    placement::PlacementVersion m_sent_version;
    // The version that the relay stated in its last report.
    placement::PlacementVersion m_reported_version;
    // The same for revisions of the key-value service.
    Revision m_sent_revision = 0;
    Revision m_reported_revision = 0;
  };

  void Tick();
  void SendUrgent();
  void ReportAsLeaf(const HostId& relay, std::uint8_t urgent);
  void RecordOwnCounts();
  void ReportToGroups(bool partial, std::uint8_t urgent);
  void ReportToPlacementLeader();
  void ReportToLeaves(bool partial);
  bool IsRelay() const;
  // Returns the hosts that report to this one, except itself.
  std::vector<HostId> Leaves() const;
  std::vector<HostId> OtherRelays() const;
  void HandleMessage(const wire::EnvelopeT& envelope);
  void HandleHostReport(const wire::HostReportT& report);
  void HandleGroupReport(const wire::GroupReportT& report);
  void HandleFleetReport(const wire::FleetReportT& report);
  void HandlePlacementUpdate(const wire::PlacementUpdateT& message);
  void SendPlacementUpdates(const std::vector<HostId>& targets);
  // Returns the state of the current connection to `target`, which is opened if
  // needed; null if the host is not a member.
  PeerSyncState* PeerSyncOf(const HostId& target);
  void SendChanges(const HostId& leaf);
  void RecordLeafRevision(const HostId& leaf, Revision revision);
  // Sends placement updates to a relay that stated the same outdated version in
  // two regular reports, because it no longer receives them from the placement
  // leader.
  void UpdateLaggingRelay(const HostId& relay,
                          placement::PlacementVersion known);
  // Schedules the forwarding of another group's urgent report to this group.
  void ForwardToLeaves();
  void PublishOtherHosts();
  void StartUrgentTimer();

  EventLoop& m_loop;
  HostId m_host;
  membership::MemberInfo m_facts;
  std::uint64_t m_epoch;
  Events m_events;
  std::function<void(const wire::EnvelopeT&)> m_on_other_message;
  PeerLinks m_links;
  membership::ReportGroups m_groups;
  membership::ReportAggregator m_aggregator;
  membership::GroupDemand m_demand;
  HostId m_placement_leader;
  std::uint64_t m_number = 0;
  std::deque<SentReport> m_sent_reports;
  std::map<HostId, PeerSyncState> m_peer_sync;
  MonotonicTime m_last_fleet_report_at;
  OtherHostsView m_view;
  std::unique_ptr<Timer> m_regular_timer;
  std::unique_ptr<Timer> m_publish_timer;
  std::unique_ptr<Timer> m_urgent_timer;
  std::uint8_t m_urgent = 0;
  // An urgent report of another group is to be forwarded, to leaves only.
  bool m_urgent_for_leaves = false;
  MonotonicTime m_last_urgent;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_FLEET_EXCHANGE_H_
