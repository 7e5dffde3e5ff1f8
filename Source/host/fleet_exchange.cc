#include "host/fleet_exchange.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "host/report_codec.h"

namespace hickoryloft::host {

namespace {

using membership::FleetCounts;
using membership::ReportAggregator;

// Interval of regular reports.
constexpr Duration kInterval = milliseconds(250);
// Delay that merges simultaneous urgent reports into one.
constexpr Duration kUrgentDelay = milliseconds(3);
// Minimum time between two urgent reports.
constexpr Duration kUrgentPause = milliseconds(20);
// Delay within which reports of several groups are summed only once.
constexpr Duration kShowDelay = milliseconds(15);
// Reported ages are capped at this value.
constexpr Duration kOldestKnowledge = seconds(3600);
// Own reports that are kept, so that the one that a fleet report includes can
// be subtracted from its sums.
constexpr std::size_t kKeptReports = 64;

void SubtractLevels(const membership::EndpointLevels& own,
                    membership::EndpointLevels& sum) {
  std::unordered_map<routing::EndpointKey, int> left(sum.begin(), sum.end());
  for (const auto& [endpoint, level] : own) {
    left[endpoint] -= level;
  }
  std::erase_if(left, [](const auto& entry) { return entry.second <= 0; });
  sum.assign(left.begin(), left.end());
}

// Subtracts `own` from sums that include it.
void Subtract(const FleetCounts& own, FleetCounts& sum) {
  SubtractLevels(own.m_running, sum.m_running);
  SubtractLevels(own.m_avoided, sum.m_avoided);
  for (const auto& [account, admitted] : own.m_admitted) {
    sum.m_admitted[account] -= admitted;
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
  std::erase_if(m_told,
                [&](const auto& told) { return !peers.contains(told.first); });
}

bool FleetExchange::IsRelay() const {
  // A host also acts as a relay if others, whose view may differ, report to it.
  return m_groups.IsRelay(m_host) || m_aggregator.GroupHosts() > 1;
}

std::vector<HostId> FleetExchange::Leaves() const {
  std::vector<HostId> leaves;
  for (const auto& [host, number] : m_aggregator.Included()) {
    if (host != m_host) {
      leaves.push_back(host);
    }
  }
  return leaves;
}

std::vector<HostId> FleetExchange::OtherRelays() const {
  std::vector<HostId> relays = m_groups.Relays();
  std::erase(relays, m_host);
  return relays;
}

void FleetExchange::Tick() {
  m_aggregator.Expire(m_loop.Now());
  m_demand.Expire(m_loop.Now());
  if (IsRelay()) {
    TakeOwnCounts();
    ReportToHolder();
    ReportToGroups(/*partial=*/false, 0);
    ShowOthersAsRelay();
    ReportToLeaves(/*partial=*/false);
    SendNews(Leaves());
  } else if (const HostId relay = m_groups.RelayOf(m_host); !relay.empty()) {
    ReportAsLeaf(relay, 0);
  }
  if (m_holder == m_host) {
    SendNews(OtherRelays());
  }
  if (!IsRelay() &&
      m_loop.Now() - m_relay_heard_at > ReportAggregator::kReportLife) {
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
  if (m_holder == m_host) {
    SendNews(OtherRelays());
  }
  const auto reports =
      static_cast<std::uint8_t>(urgent & (kDemand | kAccounts));
  if (!IsRelay()) {
    const HostId relay = m_groups.RelayOf(m_host);
    if (reports != 0 && !relay.empty()) {
      ReportAsLeaf(relay, reports);
    }
    return;
  }
  SendNews(Leaves());
  if (reports != 0) {
    TakeOwnCounts();
  }
  if ((urgent & kDemand) != 0) {
    ReportToHolder();
  }
  if ((urgent & kAccounts) != 0) {
    ReportToGroups(/*partial=*/true, kAccounts);
  }
  if ((urgent & kAccounts) != 0 || for_leaves) {
    ReportToLeaves(/*partial=*/true);
  }
}

void FleetExchange::ReportAsLeaf(const HostId& relay, std::uint8_t urgent) {
  SentReport sent{.m_number = ++m_number,
                  .m_at = m_loop.Now(),
                  .m_counts = m_events.m_own_counts()};
  wire::HostReportT report;
  report.host = m_host.value();
  report.epoch = m_epoch;
  report.number = sent.m_number;
  report.urgent = urgent;
  report.counts = ToRow(sent.m_counts);
  report.demand = ToRow(m_events.m_take_own_demand());
  report.store_revision = m_events.m_store_knowledge().m_revision;
  m_sent.push_back(std::move(sent));
  if (m_sent.size() > kKeptReports) {
    m_sent.pop_front();
  }
  m_links.Send(relay, wire::MakeEnvelope(std::move(report)));
}

void FleetExchange::TakeOwnCounts() {
  m_aggregator.TakeHost(m_host, m_epoch, ++m_number, m_events.m_own_counts(),
                        m_loop.Now());
  m_demand.TakeHost(m_host, m_events.m_take_own_demand(), m_loop.Now());
}

void FleetExchange::ReportToGroups(bool partial, std::uint8_t urgent) {
  const std::vector<HostId> relays = OtherRelays();
  if (relays.empty()) {
    return;
  }
  const placement::NewsPosition news = m_events.m_news_position();
  wire::GroupReportT report;
  report.relay = m_host.value();
  report.epoch = m_epoch;
  report.hosts = static_cast<std::uint32_t>(m_aggregator.GroupHosts());
  report.urgent = urgent;
  report.partial = partial;
  report.news_fence = news.m_fence;
  report.news_number = news.m_number;
  report.counts =
      ToRow(partial ? FleetCounts{.m_admitted = m_aggregator.GroupAdmitted()}
                    : m_aggregator.Group());
  m_links.Send(relays, wire::MakeEnvelope(std::move(report)));
}

void FleetExchange::ReportToHolder() {
  if (m_holder.empty()) {
    return;
  }
  if (m_holder == m_host) {
    m_events.m_demand(m_host, m_demand.Report(m_host, m_loop.Now()));
    return;
  }
  if (!m_links.peers().contains(m_holder)) {
    return;  // The arrivals are kept for the next report.
  }
  wire::GroupDemandT report;
  report.relay = m_host.value();
  report.demand = ToRow(m_demand.Report(m_holder, m_loop.Now()));
  m_links.Send(m_holder, wire::MakeEnvelope(std::move(report)));
}

void FleetExchange::ReportToLeaves(bool partial) {
  const std::map<HostId, std::uint64_t> included = m_aggregator.Included();
  if (included.size() < 2) {
    return;
  }
  wire::FleetReportT report;
  report.relay = m_host.value();
  report.epoch = m_epoch;
  report.partial = partial;
  report.counts =
      ToRow(partial ? FleetCounts{.m_admitted = m_aggregator.FleetAdmitted()}
                    : m_aggregator.Fleet());
  report.silent_hosts = static_cast<std::uint32_t>(m_view.m_silent_hosts);
  const StoreKnowledge knowledge = m_events.m_store_knowledge();
  report.store_revision = knowledge.m_revision;
  // Rounded up, because the receiver must not overestimate how current the
  // revision is.
  report.store_age_ms = static_cast<std::uint32_t>(
      ToMillis(std::min<Duration>(knowledge.m_age, kOldestKnowledge)).count() +
      1);
  for (const auto& [host, number] : included) {
    auto row = std::make_unique<wire::IncludedReportT>();
    row->host = host.value();
    row->number = number;
    report.included.push_back(std::move(row));
  }
  m_links.Send(Leaves(), wire::MakeEnvelope(std::move(report)));
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
  } else if (const auto* demand = envelope.body.AsGroupDemand()) {
    if (demand->demand) {
      m_events.m_demand(HostId(demand->relay), FromRow(*demand->demand));
    }
  } else if (const auto* news = envelope.body.AsPlacementNews()) {
    TakeNews(*news);
  } else if (const auto* changes = envelope.body.AsStoreChanges()) {
    m_events.m_changes(FromRow(*changes));
  }
}

void FleetExchange::TakeNews(const wire::PlacementNewsT& news) {
  const placement::NewsUpdate update = FromRow(news);
  if (const auto told = m_told.find(HostId(news.host)); told != m_told.end()) {
    told->second.m_position =
        std::max(told->second.m_position, update.m_position);
  }
  if (m_events.m_news(update) && IsRelay() && m_aggregator.GroupHosts() > 1) {
    Schedule();
  }
}

void FleetExchange::SendNews(const std::vector<HostId>& targets) {
  const placement::NewsPosition position = m_events.m_news_position();
  for (const HostId& target : targets) {
    Told* told = ToldOf(target);
    if (told == nullptr || told->m_position >= position) {
      continue;
    }
    const auto update = m_events.m_news_since(told->m_position);
    if (!update) {
      continue;
    }
    wire::PlacementNewsT row = ToRow(*update);
    row.host = m_host.value();
    m_links.Send(target, wire::MakeEnvelope(std::move(row)));
    told->m_position = update->m_position;
  }
}

FleetExchange::Told* FleetExchange::ToldOf(const HostId& target) {
  const std::uint64_t connection = m_links.Prepare(target);
  if (connection == 0) {
    return nullptr;
  }
  Told& told = m_told[target];
  if (told.m_connection != connection) {
    // Messages on the previous connection may have been lost with it.
    told = {.m_connection = connection,
            .m_store_revision = told.m_reported_revision,
            .m_reported_revision = told.m_reported_revision};
  }
  return &told;
}

void FleetExchange::SpreadChanges() {
  for (const HostId& leaf : Leaves()) {
    SendChanges(leaf);
  }
}

void FleetExchange::SendChanges(const HostId& leaf) {
  Told* told = ToldOf(leaf);
  if (told == nullptr || told->m_reported_revision == 0) {
    return;  // Changes are useless to a host before its first read.
  }
  if (const auto span = m_events.m_changes_since(told->m_store_revision)) {
    m_links.Send(leaf, wire::MakeEnvelope(ToRow(*span)));
    told->m_store_revision = span->m_to;
  }
}

void FleetExchange::NoteLeafRevision(const HostId& leaf, Revision revision) {
  Told* told = ToldOf(leaf);
  if (told == nullptr) {
    return;
  }
  const bool stuck =
      revision == std::exchange(told->m_reported_revision, revision);
  if (revision > told->m_store_revision ||
      (stuck && revision < told->m_store_revision)) {
    told->m_store_revision = revision;
  }
  SendChanges(leaf);
}

void FleetExchange::HelpLaggingRelay(const HostId& relay,
                                     placement::NewsPosition known) {
  Told& told = m_told[relay];
  const bool lags = known < m_events.m_news_position();
  if (lags && known == std::exchange(told.m_reported, known)) {
    told.m_position = known;
    SendNews({relay});
  }
}

void FleetExchange::ForwardToLeaves() {
  if (IsRelay() && m_aggregator.GroupHosts() > 1) {
    m_urgent_for_leaves = true;
    Schedule();
  }
}

void FleetExchange::TakeHostReport(const wire::HostReportT& report) {
  if (!report.counts || !report.demand) {
    return;
  }
  const HostId host(report.host);
  if (!m_aggregator.TakeHost(host, report.epoch, report.number,
                             FromRow(*report.counts), m_loop.Now())) {
    return;
  }
  m_demand.TakeHost(host, FromRow(*report.demand), m_loop.Now());
  NoteLeafRevision(host, report.store_revision);
  if (report.urgent != 0) {
    m_urgent |= report.urgent;
    Schedule();
  }
}

void FleetExchange::TakeGroupReport(const wire::GroupReportT& report) {
  if (!report.counts || !IsRelay()) {
    return;
  }
  const HostId relay(report.relay);
  m_aggregator.TakeGroup(relay, report.epoch, report.hosts, report.partial,
                         FromRow(*report.counts), m_loop.Now());
  if (!report.partial) {
    HelpLaggingRelay(
        relay, {.m_fence = report.news_fence, .m_number = report.news_number});
  }
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
  if (report.store_revision > 0) {
    // The relay measured the age after it had received this host's report, so
    // the time at which that report was sent is a safe base to subtract it
    // from.
    m_events.m_proof(report.store_revision,
                     sent->m_at - milliseconds(report.store_age_ms));
  }
}

}  // namespace hickoryloft::host
