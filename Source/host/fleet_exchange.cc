#include "host/fleet_exchange.h"

#include <algorithm>
#include <utility>

#include "host/report_codec.h"

namespace hickoryloft::host {

namespace {

using membership::FleetCounts;
using membership::ReportAggregator;

// Between regular reports.
constexpr Duration kInterval = milliseconds(250);
// Urgent reports that come together go out as one, and not more often than
// this.
constexpr Duration kUrgentDelay = milliseconds(3);
constexpr Duration kUrgentPause = milliseconds(20);
// Reports of other groups that come together are summed once.
constexpr Duration kShowDelay = milliseconds(15);
// Reports that may be under way to the relay and back.
constexpr std::size_t kKeptReports = 64;

// Takes `own` out of sums that include it.
void Subtract(const FleetCounts& own, FleetCounts& sum) {
  for (const auto& [key, running] : own.m_uses) {
    if ((sum.m_uses[key] -= running) <= 0) {
      sum.m_uses.erase(key);
    }
  }
  for (const auto& [account, admitted] : own.m_admitted) {
    sum.m_admitted[account] -= admitted;
  }
  for (const auto& [endpoint, witnesses] : own.m_avoided) {
    if ((sum.m_avoided[endpoint] -= witnesses) <= 0) {
      sum.m_avoided.erase(endpoint);
    }
  }
}

}  // namespace

FleetExchange::FleetExchange(EventLoop& loop,
                             HostId host,
                             membership::MemberFacts facts,
                             std::uint64_t epoch,
                             const std::string& address,
                             std::uint16_t port,
                             Events events)
    : m_loop(loop),
      m_host(std::move(host)),
      m_facts(std::move(facts)),
      m_epoch(epoch),
      m_events(std::move(events)),
      m_links(loop, address, port, [this](const wire::EnvelopeT& envelope) {
        TakeMessage(envelope);
      }) {
  m_regular = loop.Every(kInterval, [this] { Tick(); });
}

void FleetExchange::SetPeers(const std::map<HostId, PeerAddress>& peers) {
  m_links.SetPeers(peers);
  std::map<HostId, membership::MemberFacts> members = {{m_host, m_facts}};
  for (const auto& [host, peer] : peers) {
    members[host] = {.m_failure_domain = peer.m_failure_domain,
                     .m_capacity = peer.m_capacity};
  }
  m_groups = membership::ReportGroups(members);
}

bool FleetExchange::IsRelay() const {
  // A host that others report to by their view acts as their relay.
  return m_groups.IsRelay(m_host) || m_aggregator.Included().size() > 1;
}

void FleetExchange::Tick() {
  m_aggregator.Expire(m_loop.Now());
  if (IsRelay()) {
    TakeOwnCounts();
    m_events.m_group(m_host, m_epoch, m_aggregator.Group());
    ReportToGroups(/*partial=*/false, 0);
    ShowOthersAsRelay();
    ReportToLeaves(/*partial=*/false);
    return;
  }
  if (const HostId relay = m_groups.RelayOf(m_host); !relay.empty()) {
    ReportAsLeaf(relay, 0);
  }
  if (m_loop.Now() - m_relay_heard_at > ReportAggregator::kReportLife) {
    m_view.m_hosts = std::max<std::size_t>(1, m_groups.hosts());
    m_view.m_silent_hosts = m_view.m_hosts - 1;
    m_events.m_others(m_view);
  }
}

void FleetExchange::SendSoon(Urgency urgency) {
  m_urgent |= urgency;
  Schedule();
}

void FleetExchange::Schedule() {
  if (m_soon) {
    return;
  }
  const MonotonicTime earliest = m_last_urgent + kUrgentPause;
  m_soon = m_loop.After(std::max(kUrgentDelay, earliest - m_loop.Now()),
                        [this] { SendUrgent(); });
}

void FleetExchange::SendUrgent() {
  m_soon.reset();
  m_last_urgent = m_loop.Now();
  const std::uint8_t urgent = std::exchange(m_urgent, 0);
  const bool for_leaves = std::exchange(m_urgent_for_leaves, false);
  if (!IsRelay()) {
    if (const HostId relay = m_groups.RelayOf(m_host); !relay.empty()) {
      ReportAsLeaf(relay, urgent);
    }
    return;
  }
  TakeOwnCounts();
  if ((urgent & kDemand) != 0) {
    ReportToHolder();
  }
  const auto for_all = static_cast<std::uint8_t>(urgent & (kNews | kAccounts));
  if (for_all != 0) {
    ReportToGroups(/*partial=*/true, for_all);
  }
  if (for_all != 0 || for_leaves) {
    ReportToLeaves(/*partial=*/true);
  }
}

std::unique_ptr<wire::PlacementNewsT> FleetExchange::NewsRow() const {
  return m_latest_news ? ToRow(*m_latest_news) : nullptr;
}

void FleetExchange::ReportAsLeaf(const HostId& relay, std::uint8_t urgent) {
  if (const auto news = m_events.m_own_news()) {
    m_latest_news = news;
  }
  SentReport sent{.m_number = ++m_number, .m_counts = m_events.m_own_counts()};
  wire::HostReportT report;
  report.host = m_host.value();
  report.epoch = m_epoch;
  report.number = sent.m_number;
  report.urgent = urgent;
  report.counts = ToRow(sent.m_counts);
  if (m_holder == m_host) {
    report.news = NewsRow();
  }
  m_sent.push_back(std::move(sent));
  if (m_sent.size() > kKeptReports) {
    m_sent.pop_front();
  }
  m_links.Send(relay, wire::MakeEnvelope(std::move(report)));
}

void FleetExchange::TakeOwnCounts() {
  if (const auto news = m_events.m_own_news()) {
    m_latest_news = news;
  }
  m_aggregator.TakeHost(m_host, m_epoch, ++m_number, m_events.m_own_counts(),
                        m_loop.Now());
}

wire::EnvelopeT FleetExchange::GroupReport(bool partial, std::uint8_t urgent) {
  FleetCounts counts = m_aggregator.Group();
  if (partial) {
    counts = {.m_admitted = std::move(counts.m_admitted)};
  }
  wire::GroupReportT report;
  report.relay = m_host.value();
  report.epoch = m_epoch;
  report.hosts = static_cast<std::uint32_t>(m_aggregator.Included().size());
  report.urgent = urgent;
  report.partial = partial;
  report.counts = ToRow(counts);
  report.news = NewsRow();
  return wire::MakeEnvelope(std::move(report));
}

void FleetExchange::ReportToGroups(bool partial, std::uint8_t urgent) {
  const wire::EnvelopeT message = GroupReport(partial, urgent);
  std::vector<HostId> targets = m_groups.Relays();
  if (!m_groups.IsRelay(m_holder)) {
    targets.push_back(m_holder);
  }
  for (const HostId& target : targets) {
    if (target != m_host) {
      m_links.Send(target, message);
    }
  }
}

void FleetExchange::ReportToHolder() {
  if (m_holder == m_host) {
    m_events.m_group(m_host, m_epoch, m_aggregator.Group());
    return;
  }
  m_links.Send(m_holder, GroupReport(/*partial=*/false, 0));
}

void FleetExchange::ReportToLeaves(bool partial) {
  const std::map<HostId, std::uint64_t> included = m_aggregator.Included();
  if (included.size() < 2) {
    return;
  }
  FleetCounts fleet = m_aggregator.Fleet();
  fleet.m_wants.clear();
  if (partial) {
    fleet = {.m_admitted = std::move(fleet.m_admitted)};
  }
  wire::FleetReportT report;
  report.relay = m_host.value();
  report.epoch = m_epoch;
  report.partial = partial;
  report.counts = ToRow(fleet);
  report.silent_hosts = static_cast<std::uint32_t>(m_view.m_silent_hosts);
  report.news = NewsRow();
  for (const auto& [host, number] : included) {
    auto row = std::make_unique<wire::IncludedReportT>();
    row->host = host.value();
    row->number = number;
    report.included.push_back(std::move(row));
  }
  const wire::EnvelopeT message = wire::MakeEnvelope(std::move(report));
  for (const auto& [host, number] : included) {
    if (host != m_host) {
      m_links.Send(host, message);
    }
  }
}

void FleetExchange::ShowOthersAsRelay() {
  m_view.m_counts = m_aggregator.Fleet();
  Subtract(m_events.m_own_counts(), m_view.m_counts);
  m_view.m_epoch = m_epoch;
  m_view.m_hosts = std::max<std::size_t>(1, m_groups.hosts());
  const std::size_t heard = std::min(m_view.m_hosts, m_aggregator.HeardHosts());
  m_view.m_silent_hosts = m_view.m_hosts - heard;
  m_events.m_others(m_view);
}

void FleetExchange::TakeMessage(const wire::EnvelopeT& envelope) {
  if (const auto* host = envelope.body.AsHostReport()) {
    TakeHostReport(*host);
  } else if (const auto* group = envelope.body.AsGroupReport()) {
    TakeGroupReport(*group);
  } else if (const auto* fleet = envelope.body.AsFleetReport()) {
    TakeFleetReport(*fleet);
  }
}

void FleetExchange::TakeNews(
    const std::unique_ptr<wire::PlacementNewsT>& news) {
  if (!news) {
    return;
  }
  PlacementNews taken = FromRow(*news);
  const bool newer = !m_latest_news || taken.m_fence > m_latest_news->m_fence ||
                     (taken.m_fence == m_latest_news->m_fence &&
                      taken.m_number > m_latest_news->m_number);
  if (!newer) {
    return;
  }
  m_latest_news = std::move(taken);
  m_events.m_news(*m_latest_news);
  ForwardToLeaves();
}

void FleetExchange::ForwardToLeaves() {
  if (IsRelay() && m_aggregator.Included().size() > 1) {
    m_urgent_for_leaves = true;
    Schedule();
  }
}

void FleetExchange::TakeHostReport(const wire::HostReportT& report) {
  if (!report.counts) {
    return;
  }
  m_aggregator.TakeHost(HostId(report.host), report.epoch, report.number,
                        FromRow(*report.counts), m_loop.Now());
  TakeNews(report.news);
  if (report.urgent != 0) {
    m_urgent |= report.urgent;
    Schedule();
  }
}

void FleetExchange::TakeGroupReport(const wire::GroupReportT& report) {
  if (!report.counts) {
    return;
  }
  const HostId relay(report.relay);
  const FleetCounts counts = FromRow(*report.counts);
  if (!report.partial) {
    m_events.m_group(relay, report.epoch, counts);
  }
  TakeNews(report.news);
  if (!IsRelay()) {
    return;  // A giver of orders that is a leaf learns sums from its relay.
  }
  m_aggregator.TakeGroup(relay, report.epoch, report.hosts, report.partial,
                         counts, m_loop.Now());
  if (!m_show_soon) {
    m_show_soon = m_loop.After(kShowDelay, [this] {
      m_show_soon.reset();
      ShowOthersAsRelay();
    });
  }
  if (report.urgent != 0) {
    ForwardToLeaves();
  }
}

void FleetExchange::TakeFleetReport(const wire::FleetReportT& report) {
  if (!report.counts || HostId(report.relay) != m_groups.RelayOf(m_host)) {
    return;
  }
  TakeNews(report.news);
  const auto own = std::find_if(
      report.included.begin(), report.included.end(),
      [&](const auto& row) { return row->host == m_host.value(); });
  if (own == report.included.end()) {
    return;
  }
  const auto sent = std::find_if(
      m_sent.begin(), m_sent.end(),
      [&](const SentReport& one) { return one.m_number == (*own)->number; });
  if (sent == m_sent.end()) {
    return;
  }
  m_relay_heard_at = m_loop.Now();
  FleetCounts counts = FromRow(*report.counts);
  Subtract(sent->m_counts, counts);
  if (report.partial) {
    m_view.m_counts.m_admitted = std::move(counts.m_admitted);
  } else {
    m_view.m_counts = std::move(counts);
  }
  m_view.m_epoch = report.epoch;
  m_view.m_hosts = std::max<std::size_t>(1, m_groups.hosts());
  m_view.m_silent_hosts = report.silent_hosts;
  m_events.m_others(m_view);
}

}  // namespace hickoryloft::host
