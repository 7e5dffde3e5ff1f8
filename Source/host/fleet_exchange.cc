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
constexpr Duration kReportInterval = milliseconds(250);
// Delay that merges simultaneous urgent reports into one.
constexpr Duration kUrgentDelay = milliseconds(3);
// Minimum time between two urgent reports.
constexpr Duration kMinUrgentInterval = milliseconds(20);
// Delay within which reports of several groups are summed only once.
constexpr Duration kPublishDelay = milliseconds(15);
// Reported ages are capped at this value.
constexpr Duration kMaxReportedAge = seconds(3600);
// Own reports that are kept, so that the one that a fleet report includes can
// be subtracted from its sums.
constexpr std::size_t kMaxKeptReports = 64;

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
                             membership::MemberInfo facts,
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
        HandleMessage(envelope);
      }) {
  m_regular_timer = loop.Every(kReportInterval, [this] { Tick(); });
}

void FleetExchange::SetPeers(const std::map<HostId, PeerAddress>& peers) {
  m_links.SetPeers(peers);
  std::map<HostId, membership::MemberInfo> members = {{m_host, m_facts}};
  for (const auto& [host, peer] : peers) {
    members[host] = {.m_failure_domain = peer.m_failure_domain,
                     .m_capacity = peer.m_capacity};
  }
  m_groups = membership::ReportGroups(members);
  std::erase_if(m_peer_sync,
                [&](const auto& sync) { return !peers.contains(sync.first); });
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
    RecordOwnCounts();
    ReportToPlacementLeader();
    ReportToGroups(/*partial=*/false, 0);
    PublishOtherHosts();
    ReportToLeaves(/*partial=*/false);
    SendPlacementUpdates(Leaves());
  } else if (const HostId relay = m_groups.RelayOf(m_host); !relay.empty()) {
    ReportAsLeaf(relay, 0);
  }
  if (m_placement_leader == m_host) {
    SendPlacementUpdates(OtherRelays());
  }
  if (!IsRelay() && m_loop.Now() - m_last_fleet_report_at >
                        ReportAggregator::kReportTimeout) {
    m_view.m_hosts = std::max<std::size_t>(1, m_groups.hosts());
    m_view.m_silent_hosts = m_view.m_hosts - 1;
    m_events.m_on_other_hosts(m_view);
  }
}

void FleetExchange::ScheduleUrgentReport(UrgentTopic topic) {
  m_urgent |= topic;
  StartUrgentTimer();
}

void FleetExchange::StartUrgentTimer() {
  if (m_urgent_timer) {
    return;
  }
  const MonotonicTime earliest = m_last_urgent + kMinUrgentInterval;
  m_urgent_timer = m_loop.After(std::max(kUrgentDelay, earliest - m_loop.Now()),
                                [this] { SendUrgent(); });
}

void FleetExchange::SendUrgent() {
  m_urgent_timer.reset();
  m_last_urgent = m_loop.Now();
  const std::uint8_t urgent = std::exchange(m_urgent, 0);
  const bool for_leaves = std::exchange(m_urgent_for_leaves, false);
  if (m_placement_leader == m_host) {
    SendPlacementUpdates(OtherRelays());
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
  SendPlacementUpdates(Leaves());
  if (reports != 0) {
    RecordOwnCounts();
  }
  if ((urgent & kDemand) != 0) {
    ReportToPlacementLeader();
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
  report.demand = ToRow(m_events.m_collect_own_demand());
  const StoreKnowledge known = m_events.m_store_freshness().m_known;
  report.store_revision = known.m_revision;
  report.configuration = known.m_configuration;
  m_sent_reports.push_back(std::move(sent));
  if (m_sent_reports.size() > kMaxKeptReports) {
    m_sent_reports.pop_front();
  }
  m_links.Send(relay, wire::MakeEnvelope(std::move(report)));
}

void FleetExchange::RecordOwnCounts() {
  m_aggregator.RecordHost(m_host, m_epoch, ++m_number, m_events.m_own_counts(),
                          m_loop.Now());
  m_demand.RecordHost(m_host, m_events.m_collect_own_demand(), m_loop.Now());
}

void FleetExchange::ReportToGroups(bool partial, std::uint8_t urgent) {
  const std::vector<HostId> relays = OtherRelays();
  if (relays.empty()) {
    return;
  }
  const placement::PlacementVersion version = m_events.m_placement_version();
  wire::GroupReportT report;
  report.relay = m_host.value();
  report.epoch = m_epoch;
  report.hosts = static_cast<std::uint32_t>(m_aggregator.GroupHosts());
  report.urgent = urgent;
  report.partial = partial;
  report.news_fence = version.m_fence;
  report.news_number = version.m_number;
  const StoreKnowledge known = m_events.m_store_freshness().m_known;
  report.store_revision = known.m_revision;
  report.configuration = known.m_configuration;
  report.counts =
      ToRow(partial ? FleetCounts{.m_admitted = m_aggregator.GroupAdmitted()}
                    : m_aggregator.Group());
  m_links.Send(relays, wire::MakeEnvelope(std::move(report)));
}

void FleetExchange::ReportToPlacementLeader() {
  if (m_placement_leader.empty()) {
    return;
  }
  if (m_placement_leader == m_host) {
    m_events.m_on_group_demand(m_host,
                               m_demand.BuildReport(m_host, m_loop.Now()));
    return;
  }
  if (!m_links.peers().contains(m_placement_leader)) {
    return;  // The arrivals are kept for the next report.
  }
  wire::GroupDemandT report;
  report.relay = m_host.value();
  report.demand = ToRow(m_demand.BuildReport(m_placement_leader, m_loop.Now()));
  m_links.Send(m_placement_leader, wire::MakeEnvelope(std::move(report)));
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
  const StoreFreshness freshness = m_events.m_store_freshness();
  report.store_revision = freshness.m_known.m_revision;
  report.configuration = freshness.m_known.m_configuration;
  // Rounded up, because the receiver must not overestimate how current the
  // revision is.
  report.store_age_ms = static_cast<std::uint32_t>(
      ToMillis(std::min<Duration>(freshness.m_age, kMaxReportedAge)).count() +
      1);
  for (const auto& [host, number] : included) {
    auto row = std::make_unique<wire::IncludedReportT>();
    row->host = host.value();
    row->number = number;
    report.included.push_back(std::move(row));
  }
  m_links.Send(Leaves(), wire::MakeEnvelope(std::move(report)));
}

void FleetExchange::PublishOtherHosts() {
  m_view.m_counts = m_aggregator.Fleet();
  Subtract(m_events.m_own_counts(), m_view.m_counts);
  m_view.m_epoch = m_epoch;
  m_view.m_hosts = std::max<std::size_t>(1, m_groups.hosts());
  const std::size_t reporting =
      std::min(m_view.m_hosts, m_aggregator.ReportingHosts());
  m_view.m_silent_hosts = m_view.m_hosts - reporting;
  m_events.m_on_other_hosts(m_view);
}

void FleetExchange::HandleMessage(const wire::EnvelopeT& envelope) {
  if (const auto* host = envelope.body.AsHostReport()) {
    HandleHostReport(*host);
  } else if (const auto* group = envelope.body.AsGroupReport()) {
    HandleGroupReport(*group);
  } else if (const auto* fleet = envelope.body.AsFleetReport()) {
    HandleFleetReport(*fleet);
  } else if (const auto* demand = envelope.body.AsGroupDemand()) {
    if (demand->demand) {
      m_events.m_on_group_demand(HostId(demand->relay),
                                 FromRow(*demand->demand));
    }
  } else if (const auto* message = envelope.body.AsPlacementUpdate()) {
    HandlePlacementUpdate(*message);
  } else if (const auto* changes = envelope.body.AsStoreChanges()) {
    m_events.m_on_store_changes(FromRow(*changes));
  } else if (m_on_other_message) {
    m_on_other_message(envelope);
  }
}

void FleetExchange::HandlePlacementUpdate(
    const wire::PlacementUpdateT& message) {
  const placement::PlacementUpdate update = FromRow(message);
  if (const auto sync = m_peer_sync.find(HostId(message.host));
      sync != m_peer_sync.end()) {
    sync->second.m_sent_version =
        std::max(sync->second.m_sent_version, update.m_version);
  }
  if (m_events.m_apply_placement_update(update) && IsRelay() &&
      m_aggregator.GroupHosts() > 1) {
    StartUrgentTimer();
  }
}

void FleetExchange::SendPlacementUpdates(const std::vector<HostId>& targets) {
  const placement::PlacementVersion version = m_events.m_placement_version();
  for (const HostId& target : targets) {
    PeerSyncState* sync = PeerSyncOf(target);
    if (sync == nullptr || sync->m_sent_version >= version) {
      continue;
    }
    const auto update = m_events.m_placement_update_since(sync->m_sent_version);
    if (!update) {
      continue;
    }
    wire::PlacementUpdateT row = ToRow(*update);
    row.host = m_host.value();
    m_links.Send(target, wire::MakeEnvelope(std::move(row)));
    sync->m_sent_version = update->m_version;
  }
}

FleetExchange::PeerSyncState* FleetExchange::PeerSyncOf(const HostId& target) {
  const std::uint64_t connection = m_links.EnsureConnection(target);
  if (connection == 0) {
    return nullptr;
  }
  PeerSyncState& sync = m_peer_sync[target];
  if (sync.m_connection != connection) {
    // Messages on the previous connection may have been lost with it.
    sync = {.m_connection = connection,
            .m_sent_revision = sync.m_reported_revision,
            .m_reported_revision = sync.m_reported_revision};
  }
  return &sync;
}

void FleetExchange::SendChangesToLeaves() {
  for (const HostId& leaf : Leaves()) {
    SendChanges(leaf);
  }
}

void FleetExchange::SendChanges(const HostId& leaf) {
  PeerSyncState* sync = PeerSyncOf(leaf);
  if (sync == nullptr || sync->m_reported_revision == 0) {
    return;  // Changes are useless to a host before its first read.
  }
  if (const auto span = m_events.m_store_changes_since(sync->m_sent_revision)) {
    m_links.Send(leaf, wire::MakeEnvelope(ToRow(*span)));
    sync->m_sent_revision = span->m_to;
  }
}

void FleetExchange::RecordLeafRevision(const HostId& leaf, Revision revision) {
  PeerSyncState* sync = PeerSyncOf(leaf);
  if (sync == nullptr) {
    return;
  }
  const bool stuck =
      revision == std::exchange(sync->m_reported_revision, revision);
  if (revision > sync->m_sent_revision ||
      (stuck && revision < sync->m_sent_revision)) {
    sync->m_sent_revision = revision;
  }
  SendChanges(leaf);
}

void FleetExchange::UpdateLaggingRelay(const HostId& relay,
                                       placement::PlacementVersion known) {
  PeerSyncState& sync = m_peer_sync[relay];
  const bool lags = known < m_events.m_placement_version();
  if (lags && known == std::exchange(sync.m_reported_version, known)) {
    sync.m_sent_version = known;
    SendPlacementUpdates({relay});
  }
}

void FleetExchange::ForwardToLeaves() {
  if (IsRelay() && m_aggregator.GroupHosts() > 1) {
    m_urgent_for_leaves = true;
    StartUrgentTimer();
  }
}

void FleetExchange::HandleHostReport(const wire::HostReportT& report) {
  if (!report.counts || !report.demand) {
    return;
  }
  const HostId host(report.host);
  if (!m_aggregator.RecordHost(host, report.epoch, report.number,
                               FromRow(*report.counts), m_loop.Now())) {
    return;
  }
  m_demand.RecordHost(host, FromRow(*report.demand), m_loop.Now());
  m_events.m_on_peer_knowledge({report.store_revision, report.configuration});
  RecordLeafRevision(host, report.store_revision);
  if (report.urgent != 0) {
    m_urgent |= report.urgent;
    StartUrgentTimer();
  }
}

void FleetExchange::HandleGroupReport(const wire::GroupReportT& report) {
  if (!report.counts || !IsRelay()) {
    return;
  }
  const HostId relay(report.relay);
  m_events.m_on_peer_knowledge({report.store_revision, report.configuration});
  m_aggregator.RecordGroup(relay, report.epoch, report.hosts, report.partial,
                           FromRow(*report.counts), m_loop.Now());
  if (!report.partial) {
    UpdateLaggingRelay(
        relay, {.m_fence = report.news_fence, .m_number = report.news_number});
  }
  if (!m_publish_timer) {
    m_publish_timer = m_loop.After(kPublishDelay, [this] {
      m_publish_timer.reset();
      PublishOtherHosts();
    });
  }
  if (report.urgent != 0) {
    ForwardToLeaves();
  }
}

void FleetExchange::HandleFleetReport(const wire::FleetReportT& report) {
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
      m_sent_reports.begin(), m_sent_reports.end(),
      [&](const SentReport& one) { return one.m_number == (*own)->number; });
  if (sent == m_sent_reports.end()) {
    return;
  }
  m_last_fleet_report_at = m_loop.Now();
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
  m_events.m_on_other_hosts(m_view);
  m_events.m_on_peer_knowledge({report.store_revision, report.configuration});
  if (report.store_revision > 0) {
    // The relay measured the age after it had received this host's report, so
    // the time at which that report was sent is a safe base to subtract it
    // from.
    m_events.m_on_store_confirmation(
        report.store_revision, sent->m_at - milliseconds(report.store_age_ms));
  }
}

}  // namespace hickoryloft::host
