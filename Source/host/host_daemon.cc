#include "host/host_daemon.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

#include "base/hashing.h"
#include "base/log.h"

namespace hickoryloft::host {

namespace {

constexpr char kMemberPrefix[] = "hickoryloft/members/";
constexpr char kHolderKey[] = "hickoryloft/placement-holder";

// A member that has not renewed for this long is gone; three times the bound
// on an answer of the key-value service.
constexpr Duration kMemberLease = seconds(3);
constexpr Duration kTickInterval = milliseconds(250);
// Candidates for the right to give orders try one after the other.
constexpr Duration kCandidateStep = milliseconds(150);
// A host that is no relay tries after all relays of a usual fleet.
constexpr std::int64_t kLeafHandicap = 12;
// Part of the bound on withdrawn keys up to which knowledge may age; the rest
// covers a silent watch and the request's way to the endpoint.
constexpr double kUsableAgePart = 0.75;
// A host whose knowledge is older asks for no new connections: its requests
// will be refused soon.
constexpr double kReadyAgePart = 0.55;
// The giver of orders follows changes at once, others are told of loads by it;
// the rest they learn within this part of the shortest bound, which is that of
// leaving endpoints.
constexpr Duration kHolderBatchPause = milliseconds(20);
constexpr double kFollowPart = 0.3;
// Changes that come together make one plan.
constexpr Duration kPlanDelay = milliseconds(6);
// After SIGTERM callers still come for about two readiness checks.
constexpr Duration kStopLinger = milliseconds(2600);
// Before the end of the grace: what is still open is aborted, and the process
// ends.
constexpr Duration kStopReserve = milliseconds(600);
constexpr Duration kStopLast = milliseconds(200);

const Logger kLog("host");

std::optional<PeerAddress> ParseMember(const std::string& value) {
  const nlohmann::json member =
      nlohmann::json::parse(value, nullptr, /*allow_exceptions=*/false);
  if (!member.is_object()) {
    return std::nullopt;
  }
  PeerAddress peer;
  try {
    peer = {.m_host = HostId(member.at("host").get<std::string>()),
            .m_incarnation = member.at("incarnation").get<Incarnation>(),
            .m_failure_domain =
                FailureDomainId(member.at("failure_domain").get<std::string>()),
            .m_capacity = member.value("capacity", 0.0),
            .m_address = member.at("address").get<std::string>(),
            .m_port = member.at("port").get<std::uint16_t>()};
  } catch (const nlohmann::json::exception& error) {
    kLog.Warn("member entry unreadable, ignored", {{"reason", error.what()}});
    return std::nullopt;
  }
  return peer;
}

std::string MemberText(const HostSettings& settings, Incarnation incarnation) {
  return nlohmann::json{{"host", settings.m_host.value()},
                        {"incarnation", incarnation},
                        {"address", settings.m_address},
                        {"port", settings.m_peer_port},
                        {"failure_domain", settings.m_failure_domain.value()},
                        {"capacity", settings.m_capacity}}
      .dump();
}

membership::HolderTiming TimingOf(const HostSettings& settings) {
  membership::HolderTiming timing;
  timing.m_ttl = std::max(timing.m_ttl, settings.m_min_lease);
  timing.m_gap = settings.m_bounds.m_holder_gap + milliseconds(200);
  return timing;
}

}  // namespace

HostDaemon::HostDaemon(EventLoop& loop,
                       HostSettings settings,
                       PlatformPorts ports)
    : m_settings(std::move(settings)),
      m_loop(loop),
      m_ports(ports),
      m_incarnation(RandomBits()),
      m_random(RandomBits()),
      m_knowledge(loop,
                  ports.m_store,
                  ports.m_decoder,
                  {.m_configuration_changed = [this] { OnConfiguration(); },
                   .m_endpoint_changed =
                       [this](const EndpointId& id) { OnEndpoint(id); },
                   .m_own_keys_changed = [this] { OnOwnKeys(); }}),
      m_context(MakeContext()),
      m_frontend(m_context),
      m_exchange(
          loop,
          m_settings.m_host,
          membership::MemberFacts{
              .m_failure_domain = m_settings.m_failure_domain,
              .m_capacity = m_settings.m_capacity},
          m_incarnation,
          m_settings.m_address,
          m_settings.m_peer_port,
          {.m_own_counts = [this] { return OwnCounts(); },
           .m_own_news = [this] { return OwnNews(); },
           .m_others = [this](const OthersView& others) { TakeOthers(others); },
           .m_group =
               [this](const HostId& relay,
                      std::uint64_t epoch,
                      const membership::FleetCounts& counts) {
                 TakeGroup(relay, epoch, counts);
               },
           .m_news = [this](const PlacementNews& news) { TakeNews(news); }}),
      m_registration(loop,
                     ports.m_store,
                     kMemberPrefix + m_settings.m_host.value() + "/" +
                         std::to_string(m_incarnation),
                     MemberText(m_settings, m_incarnation),
                     std::max(kMemberLease, m_settings.m_min_lease)),
      m_holder_lease(loop,
                     ports.m_store,
                     kHolderKey,
                     m_settings.m_host,
                     TimingOf(m_settings)),
      m_orders(
          loop,
          ports.m_engines,
          {.m_knowledge = m_knowledge,
           .m_demand = m_demand,
           .m_lease = m_holder_lease,
           .m_running =
               [this](const EndpointId& id, const ModelId& model) {
                 return m_load.Total(id, model);
               },
           .m_avoided =
               [this](const EndpointId& id) { return AvoidedForPlacement(id); },
           .m_host = m_settings.m_host,
           .m_metrics = m_metrics},
          [this] { AnnounceNews(); }),
      m_callers(loop,
                m_settings.m_callers.m_address,
                m_settings.m_callers.m_port,
                [this](std::shared_ptr<http::ServerExchange> exchange) {
                  m_frontend.Take(std::move(exchange));
                }),
      m_readiness(loop,
                  m_settings.m_readiness.m_address,
                  m_settings.m_readiness.m_port,
                  [this](const std::shared_ptr<http::ServerExchange>& check) {
                    check->Answer(Ready() ? 200 : 503, {}, "");
                  }),
      m_metrics_server(
          loop,
          m_settings.m_metrics.m_address,
          m_settings.m_metrics.m_port,
          [this](const std::shared_ptr<http::ServerExchange>& read) {
            MeasureLevels();
            read->Answer(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                         m_metrics.registry().ToPrometheusText());
          }) {
  kLog.Info("started", {{"host", m_settings.m_host.value()},
                        {"failure_domain", m_settings.m_failure_domain.value()},
                        {"incarnation", m_incarnation}});
  m_knowledge.Start();
  m_registration.Start();
  m_tick_due = m_loop.Now() + kTickInterval;
  m_tick = m_loop.Every(kTickInterval, [this] { Tick(); });
}

RequestContext HostDaemon::MakeContext() {
  return {
      .m_loop = m_loop,
      .m_settings = m_settings,
      .m_knowledge = m_knowledge,
      .m_protocol = m_ports.m_protocol,
      .m_client = m_ports.m_client,
      .m_load = m_load,
      .m_health = m_health,
      .m_replicas = m_replicas,
      .m_random = m_random,
      .m_metrics = m_metrics,
      .m_retry_budget =
          [this](const ServiceId& service) -> admission::RetryBudget& {
        return m_retry_budgets
            .try_emplace(service,
                         admission::RetryLimits{
                             .m_ratio = m_settings.m_bounds.m_retry_ratio,
                             .m_extra = m_settings.m_bounds.m_retry_extra,
                             .m_window = m_settings.m_bounds.m_retry_window})
            .first->second;
      },
      .m_host_count = [this] { return m_exchange.peers().size() + 1; },
      .m_keys_current = [this] { return KeysCurrent(); },
      .m_demand_changed = [this] { OnDemand(); },
      .m_report_due = [this] { m_exchange.SendSoon(FleetExchange::kAccounts); },
  };
}

bool HostDaemon::KeysCurrent() const {
  const FleetBounds& bounds = m_settings.m_bounds;
  return !bounds.m_strict_withdrawal ||
         m_knowledge.Age() <
             duration_cast<Duration>(bounds.m_key_withdrawal * kUsableAgePart);
}

bool HostDaemon::Ready() {
  const FleetBounds& bounds = m_settings.m_bounds;
  const bool ready =
      !m_stopping && m_knowledge.complete() &&
      (!bounds.m_strict_withdrawal ||
       m_knowledge.Age() <
           duration_cast<Duration>(bounds.m_key_withdrawal * kReadyAgePart));
  if (ready != m_was_ready) {
    m_was_ready = ready;
    kLog.Info(
        ready ? "ready" : "not ready",
        {{"stopping", m_stopping ? 1 : 0},
         {"view_age_ms",
          m_knowledge.complete() ? ToMillis(m_knowledge.Age()).count() : -1}});
  }
  return ready;
}

void HostDaemon::OnConfiguration() {
  const fleet::Configuration& configuration =
      m_knowledge.configuration()->configuration();
  const fleet::CallerLimits& limits = configuration.m_limits;
  m_callers.SetLimits({.m_max_head_bytes = limits.m_max_header_bytes,
                       .m_max_body_bytes = limits.m_max_body_bytes,
                       .m_head_timeout = limits.m_header_timeout,
                       .m_idle_timeout = limits.m_idle_timeout});
  m_metrics.m_configuration_version.Set(
      static_cast<double>(configuration.m_version));
  m_frontend.FollowConfiguration();
  m_orders.Plan();
}

void HostDaemon::OnEndpoint(const EndpointId& id) {
  if (m_knowledge.directory().Find(id) == nullptr) {
    m_health.Forget(id);
  }
  m_frontend.Reconsider();
  PlanSoon();
}

HostId HostDaemon::Holder() const {
  const auto key = m_knowledge.own_keys().find(kHolderKey);
  return key == m_knowledge.own_keys().end() ? HostId()
                                             : HostId(key->second.m_value);
}

void HostDaemon::OnOwnKeys() {
  std::map<HostId, PeerAddress> peers;
  const auto& keys = m_knowledge.own_keys();
  for (auto item = keys.lower_bound(kMemberPrefix);
       item != keys.end() && item->first.starts_with(kMemberPrefix); ++item) {
    const auto peer = ParseMember(item->second.m_value);
    if (peer && peer->m_host != m_settings.m_host) {
      peers[peer->m_host] = *peer;
    }
  }
  for (const auto& [host, peer] : m_exchange.peers()) {
    if (!peers.contains(host)) {
      kLog.Info("host left", {{"host", host.value()}});
    }
  }
  for (const auto& [host, peer] : peers) {
    if (!m_exchange.peers().contains(host)) {
      kLog.Info("host joined", {{"host", host.value()},
                                {"address", peer.m_address},
                                {"incarnation", peer.m_incarnation}});
    }
  }
  m_exchange.SetPeers(peers);
  m_demand.RetainHosts(m_exchange.groups().Relays());
  m_exchange.SetHolder(Holder());
  const bool holder_elsewhere =
      !Holder().empty() && Holder() != m_settings.m_host;
  m_knowledge.SetBatchPause(
      holder_elsewhere
          ? FromSeconds(kFollowPart * ToSeconds(m_settings.m_bounds.m_drain))
          : kHolderBatchPause);
  m_holder_lease.Observe(keys.contains(kHolderKey), CandidatePatience());
}

Duration HostDaemon::CandidatePatience() const {
  // Relays are strong hosts and know the demand of the whole fleet, so they go
  // first.
  std::vector<std::string> names = {m_settings.m_host.value()};
  for (const HostId& relay : m_exchange.groups().Relays()) {
    if (relay != m_settings.m_host) {
      names.push_back(relay.value());
    }
  }
  const auto order = RendezvousOrder(kHolderKey, names);
  const auto rank = std::find(order.begin(), order.end(), 0U) - order.begin();
  const bool relay = m_exchange.groups().IsRelay(m_settings.m_host);
  return kCandidateStep * (relay ? rank : rank + kLeafHandicap);
}

void HostDaemon::OnDemand() {
  m_exchange.SendSoon(FleetExchange::kDemand);
}

void HostDaemon::PlanSoon() {
  if (m_holder_lease.held() && !m_plan_soon) {
    m_plan_soon = m_loop.After(kPlanDelay, [this] {
      m_plan_soon.reset();
      m_orders.Plan();
    });
  }
}

membership::FleetCounts HostDaemon::OwnCounts() {
  membership::FleetCounts counts;
  for (const routing::EndpointUse& use : m_load.OwnUses()) {
    counts.m_uses[{use.m_endpoint, use.m_model}] = use.m_running;
  }
  for (const auto& [id, entry] : m_knowledge.directory().entries()) {
    if (const int witnesses = m_health.Witnesses(id, m_loop.Now())) {
      counts.m_avoided[id] = witnesses;
    }
  }
  m_frontend.AddCounts(counts);
  return counts;
}

std::optional<PlacementNews> HostDaemon::OwnNews() {
  if (!m_holder_lease.valid()) {
    return std::nullopt;
  }
  return m_replicas.news();
}

void HostDaemon::AnnounceNews() {
  PlacementNews news{.m_fence = m_holder_lease.fence(),
                     .m_number = ++m_news_number};
  for (const auto& [service, planner] : m_orders.planners()) {
    for (const auto& [engine, models] : planner->Adapters()) {
      for (const auto& [model, names] : models) {
        for (const AdapterId& adapter : names) {
          news.m_adapters.emplace(engine, model, adapter);
        }
      }
    }
    for (const auto& [engine, model] : planner->Leaving()) {
      news.m_leaving.emplace(engine, model);
    }
    for (const auto& [key, present] :
         planner->RecentModels(m_loop.Now() - ReplicaMap::kNewsLife)) {
      news.m_models[key] = present;
    }
  }
  m_replicas.Take(news, m_loop.Now());
  m_exchange.SendSoon(FleetExchange::kNews);
  m_frontend.Reconsider();
}

void HostDaemon::TakeOthers(const OthersView& others) {
  std::vector<routing::EndpointUse> uses;
  uses.reserve(others.m_counts.m_uses.size());
  for (const auto& [key, running] : others.m_counts.m_uses) {
    uses.push_back(
        {.m_endpoint = key.first, .m_model = key.second, .m_running = running});
  }
  m_load.TakeReport(HostId("others"), uses);
  m_avoided_by_others = others.m_counts.m_avoided;
  m_frontend.TakeOthers(others);
  m_frontend.Reconsider();
}

void HostDaemon::TakeGroup(const HostId& relay,
                           std::uint64_t epoch,
                           const membership::FleetCounts& counts) {
  std::vector<placement::ModelWant> wants;
  wants.reserve(counts.m_wants.size());
  for (const auto& [key, want] : counts.m_wants) {
    wants.push_back({.m_service = key.m_service,
                     .m_model = key.m_model,
                     .m_adapter = key.m_adapter,
                     .m_waiting = want.m_waiting,
                     .m_arrivals = want.m_arrivals});
  }
  m_demand.TakeReport(relay, epoch, wants, m_loop.Now());
  PlanSoon();
}

void HostDaemon::TakeNews(const PlacementNews& news) {
  if (m_replicas.Take(news, m_loop.Now())) {
    m_frontend.Reconsider();
  }
}

bool HostDaemon::AvoidedForPlacement(const EndpointId& id) const {
  const auto others = m_avoided_by_others.find(id);
  const int witnesses =
      m_health.Witnesses(id, m_loop.Now()) +
      (others == m_avoided_by_others.end() ? 0 : others->second);
  return witnesses >= routing::EndpointHealth::kDecisiveWitnesses;
}

void HostDaemon::MeasureLevels() {
  m_frontend.MeasureAccounts();
  for (auto& [service, budget] : m_retry_budgets) {
    m_metrics.SetRetryBudget(
        service, budget.Left(m_exchange.peers().size() + 1, m_loop.Now()));
  }
  m_metrics.MeasureMemory();
}

void HostDaemon::Tick() {
  const MonotonicTime now = m_loop.Now();
  m_metrics.m_loop_delay.Record(std::max(Duration{}, now - m_tick_due));
  m_tick_due = now + kTickInterval;
  if (m_knowledge.complete()) {
    m_metrics.m_knowledge_age.Set(ToSeconds(m_knowledge.Age()));
  }
  m_metrics.m_requests_open.Set(static_cast<double>(m_frontend.open()));
  m_metrics.m_requests_waiting.Set(static_cast<double>(m_frontend.waiting()));
  m_metrics.m_caller_connections.Set(
      static_cast<double>(m_callers.connections()));
  m_metrics.m_holds_lease.Set(m_holder_lease.valid() ? 1 : 0);
  m_frontend.Reconsider();
  if (m_knowledge.complete() && !m_stopping) {
    OnOwnKeys();
  }
}

void HostDaemon::Reload(const HostSettings& settings) {
  m_settings.m_bounds = settings.m_bounds;
  kLog.Info("settings reloaded", {{"host", m_settings.m_host.value()}});
}

void HostDaemon::BeginStop() {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  m_stop_began = m_loop.Now();
  kLog.Info("stopping",
            {{"open", static_cast<std::uint64_t>(m_frontend.open())}});
  m_callers.BeginDrain();
  m_frontend.BeginStop(m_settings.m_bounds.m_stop_grace - kStopReserve);
  m_holder_lease.End();
  m_stop_tick = m_loop.Every(milliseconds(50), [this] { ContinueStop(); });
}

void HostDaemon::ContinueStop() {
  const Duration passed = m_loop.Now() - m_stop_began;
  if (passed < kStopLinger) {
    return;
  }
  m_callers.CloseIdle();
  const Duration grace = m_settings.m_bounds.m_stop_grace;
  // A connection stays until its caller has read the last answer.
  const bool busy = m_frontend.open() > 0 || m_callers.connections() > 0;
  if (busy && passed <= grace - kStopReserve) {
    return;
  }
  // Whoever connects from now on is refused before it has sent anything; the
  // registration may take long to end.
  m_callers.StopListening();
  if (!m_registration_ending) {
    m_registration_ending = true;
    m_registration.End([this] { m_registration_ended = true; });
  }
  if (passed > grace - kStopReserve) {
    m_frontend.AbortAll();
  }
  if ((m_registration_ended && !busy) || passed > grace - kStopLast) {
    m_stop_tick.reset();
    kLog.Info("stopped", {{"host", m_settings.m_host.value()}});
    m_loop.Stop();
  }
}

}  // namespace hickoryloft::host
