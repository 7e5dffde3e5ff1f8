// Exchanges reports with the other hosts, as a leaf or as the relay of a group.

#ifndef SOURCE_HOST_FLEET_EXCHANGE_H_
#define SOURCE_HOST_FLEET_EXCHANGE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/event_loop.h"
#include "fleet/change_log.h"
#include "host/peer_links.h"
#include "membership/group_demand.h"
#include "membership/report_aggregator.h"
#include "membership/report_groups.h"
#include "placement/placement_news.h"

namespace hickoryloft::host {

// What a host knows of the others. Levels and counts do not include its own.
struct OthersView {
  membership::FleetCounts m_counts;
  // Changes whenever the counts begin anew.
  std::uint64_t m_epoch = 0;
  std::size_t m_silent_hosts = 0;
  std::size_t m_hosts = 1;  // This one included.
};

// Which changes of the key-value service a host knows.
struct StoreKnowledge {
  Revision m_revision = 0;  // 0: nothing has been read yet.
  Duration m_age{};         // Changes may be missing for this long.
};

// A lost report makes decisions worse, never wrong: the next one holds
// everything. Use on the loop's thread only.
class FleetExchange {
 public:
  struct Events {
    // Returns what this host counts.
    std::function<membership::FleetCounts()> m_own_counts;
    // Returns what this host wants of engines, with the arrivals since the call
    // before.
    std::function<membership::EngineDemand()> m_take_own_demand;
    std::function<void(const OthersView&)> m_others;
    // What the hosts of a group want. Only the giver of orders is told.
    std::function<void(const HostId& relay, membership::EngineDemand demand)>
        m_demand;
    // Takes news. Returns whether they told something new.
    std::function<bool(const placement::NewsUpdate&)> m_news;
    // Returns what a host that knows `known` should be told.
    std::function<std::optional<placement::NewsUpdate>(
        placement::NewsPosition known)>
        m_news_since;
    std::function<placement::NewsPosition()> m_news_position;
    // What this host knows of the key-value service.
    std::function<StoreKnowledge()> m_store_knowledge;
    // Returns the changes after `known`, if this host has them.
    std::function<std::optional<fleet::ChangeSpan>(Revision known)>
        m_changes_since;
    // Changes, and the proof that none is missing, from this host's relay.
    std::function<void(const fleet::ChangeSpan&)> m_changes;
    std::function<void(Revision revision, MonotonicTime as_of)> m_proof;
  };

  // Throws Error(kIo) if `port` of `address` cannot be bound.
  FleetExchange(EventLoop& loop,
                HostId host,
                membership::MemberFacts facts,
                std::uint64_t epoch,
                const std::string& address,
                std::uint16_t port,
                Events events);

  // Takes the member view, without this host.
  void SetPeers(const std::map<HostId, PeerAddress>& peers);
  const std::map<HostId, PeerAddress>& peers() const { return m_links.peers(); }
  const membership::ReportGroups& groups() const { return m_groups; }
  // Whether other hosts learn of changes through this one.
  bool feeds() const { return m_aggregator.GroupHosts() > 1; }
  // The host that gives orders, by this host's view; it is told every group's
  // demand.
  void SetHolder(const HostId& holder) { m_holder = holder; }

  // What should be known before the next regular report, and by whom.
  enum Urgency : std::uint8_t {
    kDemand = 1,    // A request began to wait: the giver of orders.
    kNews = 2,      // Engines hold something else: all hosts.
    kAccounts = 4,  // An account was used much: all hosts.
  };
  void SendSoon(Urgency urgency);

  // This host has learned of changes by its own watch: the hosts that report to
  // it are told.
  void SpreadChanges();

 private:
  struct SentReport {
    std::uint64_t m_number = 0;
    MonotonicTime m_at;
    membership::FleetCounts m_counts;
  };

  // What a partner has been told of the news, on one connection to it.
  struct Told {
    std::uint64_t m_connection = 0;
    placement::NewsPosition m_position;
    // What a relay's last report said that it knows.
    placement::NewsPosition m_reported;
    // The same for changes of the key-value service.
    Revision m_store_revision = 0;
    Revision m_reported_revision = 0;
  };

  void Tick();
  void SendUrgent();
  void ReportAsLeaf(const HostId& relay, std::uint8_t urgent);
  void TakeOwnCounts();
  void ReportToGroups(bool partial, std::uint8_t urgent);
  void ReportToHolder();
  void ReportToLeaves(bool partial);
  bool IsRelay() const;
  // The hosts that report to this one, itself left out.
  std::vector<HostId> Leaves() const;
  std::vector<HostId> OtherRelays() const;
  void TakeMessage(const wire::EnvelopeT& envelope);
  void TakeHostReport(const wire::HostReportT& report);
  void TakeGroupReport(const wire::GroupReportT& report);
  void TakeFleetReport(const wire::FleetReportT& report);
  void TakeNews(const wire::PlacementNewsT& news);
  void SendNews(const std::vector<HostId>& targets);
  // Returns what `target` has been told on the present connection to it; null
  // if the host is not known.
  Told* ToldOf(const HostId& target);
  void SendChanges(const HostId& leaf);
  void NoteLeafRevision(const HostId& leaf, Revision revision);
  // A relay that still lacks news after a whole interval has lost touch with
  // the giver of orders; this host passes them on.
  void HelpLaggingRelay(const HostId& relay, placement::NewsPosition known);
  // Passes an urgent report of another group on to this group.
  void ForwardToLeaves();
  void ShowOthersAsRelay();
  void Schedule();

  EventLoop& m_loop;
  HostId m_host;
  membership::MemberFacts m_facts;
  std::uint64_t m_epoch;
  Events m_events;
  PeerLinks m_links;
  membership::ReportGroups m_groups;
  membership::ReportAggregator m_aggregator;
  membership::GroupDemand m_demand;
  HostId m_holder;
  std::uint64_t m_number = 0;
  std::deque<SentReport> m_sent;
  std::map<HostId, Told> m_told;
  MonotonicTime m_relay_heard_at;
  OthersView m_view;
  std::unique_ptr<Timer> m_regular;
  std::unique_ptr<Timer> m_show_soon;
  std::unique_ptr<Timer> m_soon;
  std::uint8_t m_urgent = 0;
  // Urgent reports of other groups, which go on to the leaves only.
  bool m_urgent_for_leaves = false;
  MonotonicTime m_last_urgent;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_FLEET_EXCHANGE_H_
