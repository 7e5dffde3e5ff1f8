// Exchanges reports with the other hosts, as a leaf or as the relay of a group.

#ifndef SOURCE_HOST_FLEET_EXCHANGE_H_
#define SOURCE_HOST_FLEET_EXCHANGE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "base/event_loop.h"
#include "host/peer_links.h"
#include "host/replica_map.h"
#include "membership/report_aggregator.h"
#include "membership/report_groups.h"

namespace hickoryloft::host {

// What a host knows of the others. Levels and counts do not include its own.
struct OthersView {
  membership::FleetCounts m_counts;
  // Changes whenever the counts begin anew.
  std::uint64_t m_epoch = 0;
  std::size_t m_silent_hosts = 0;
  std::size_t m_hosts = 1;  // This one included.
};

// A lost report makes decisions worse, never wrong: the next one holds
// everything. Use on the loop's thread only.
class FleetExchange {
 public:
  struct Events {
    // Returns what this host counts.
    std::function<membership::FleetCounts()> m_own_counts;
    // Returns the news if this host gives the orders.
    std::function<std::optional<PlacementNews>()> m_own_news;
    std::function<void(const OthersView&)> m_others;
    // What the hosts of a group want. Only relays and the giver of orders are
    // told.
    std::function<void(const HostId& relay,
                       std::uint64_t epoch,
                       const membership::FleetCounts& counts)>
        m_group;
    std::function<void(const PlacementNews&)> m_news;
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
  // The host that gives orders, by this host's view; it is told every group's
  // wants.
  void SetHolder(const HostId& holder) { m_holder = holder; }

  // What should be known before the next regular report, and by whom.
  enum Urgency : std::uint8_t {
    kDemand = 1,    // A request began to wait: the giver of orders.
    kNews = 2,      // Engines hold something else: all hosts.
    kAccounts = 4,  // An account was used much: all hosts.
  };
  void SendSoon(Urgency urgency);

 private:
  struct SentReport {
    std::uint64_t m_number = 0;
    membership::FleetCounts m_counts;
  };

  void Tick();
  void SendUrgent();
  void ReportAsLeaf(const HostId& relay, std::uint8_t urgent);
  void TakeOwnCounts();
  wire::EnvelopeT GroupReport(bool partial, std::uint8_t urgent);
  void ReportToGroups(bool partial, std::uint8_t urgent);
  void ReportToHolder();
  void ReportToLeaves(bool partial);
  bool IsRelay() const;
  void TakeMessage(const wire::EnvelopeT& envelope);
  void TakeHostReport(const wire::HostReportT& report);
  void TakeGroupReport(const wire::GroupReportT& report);
  void TakeFleetReport(const wire::FleetReportT& report);
  void TakeNews(const std::unique_ptr<wire::PlacementNewsT>& news);
  std::unique_ptr<wire::PlacementNewsT> NewsRow() const;
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
  HostId m_holder;
  std::uint64_t m_number = 0;
  std::deque<SentReport> m_sent;
  std::optional<PlacementNews> m_latest_news;
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
