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
// Part of the bound on withdrawn keys up to which knowledge may age; the rest
// covers a silent watch and the request's way to the endpoint.
constexpr double kUsableAgePart = 0.75;
// A host whose knowledge is older asks for no new connections: its requests
// will be refused soon.
constexpr double kReadyAgePart = 0.55;
// Requests that begin to wait together make one plan.
constexpr Duration kPlanDelay = milliseconds(3);
// After SIGTERM callers still come for about two readiness checks.
constexpr Duration kStopLinger = milliseconds(2600);
constexpr Duration kStopReserve = milliseconds(600);

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
                        {"failure_domain", settings.m_failure_domain.value()}}
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
      m_reports(loop,
                m_settings.m_address,
                m_settings.m_peer_port,
                {.m_make_report = [this] { return MakeReport(); },
                 .m_report =
                     [this](const wire::HostReportT& report) {
                       TakeReport(report);
                     }}),
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
      m_orders(loop,
               ports.m_engines,
               {.m_knowledge = m_knowledge,
                .m_demand = m_demand,
                .m_lease = m_holder_lease,
                .m_running =
                    [this](const EndpointId& id, const ModelId& model) {
                      return m_load.Total(id, model);
                    },
                .m_avoided =
                    [this](const EndpointId& id) {
                      return AvoidedForPlacement(id);
                    },
                .m_host = m_settings.m_host},
               [this] { AnnounceReplicas(); }),
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
            .try_emplace(
                service,
                admission::RetryLimits{
                    .m_ratio = m_settings.m_bounds.m_retry_ratio,
                    .m_extra = m_settings.m_bounds.m_retry_extra,
                    .m_window = m_settings.m_bounds.m_retry_window})
            .first->second;
      },
      .m_host_count = [this] { return m_reports.peers().size() + 1; },
      .m_keys_current = [this] { return KeysCurrent(); },
      .m_demand_changed = [this] { OnDemand(); },
      .m_report_due = [this] { m_reports.SendSoon(); },
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
       m_knowledge.Age() < duration_cast<Duration>(bounds.m_key_withdrawal *
                                                   kReadyAgePart));
  if (ready != m_was_ready) {
    m_was_ready = ready;
    kLog.Info(ready ? "ready" : "not ready",
              {{"stopping", m_stopping ? 1 : 0},
               {"view_age_ms", m_knowledge.complete()
                                   ? ToMillis(m_knowledge.Age()).count()
                                   : -1}});
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
  m_orders.Plan();
}

HostId HostDaemon::Holder() const {
  const auto key = m_knowledge.own_keys().find(kHolderKey);
  return key == m_knowledge.own_keys().end() ? HostId()
                                             : HostId(key->second.m_value);
}

void HostDaemon::OnOwnKeys() {
  std::map<HostId, PeerAddress> peers;
  std::map<HostId, Incarnation> incarnations;
  const auto& keys = m_knowledge.own_keys();
  for (auto item = keys.lower_bound(kMemberPrefix);
       item != keys.end() && item->first.starts_with(kMemberPrefix); ++item) {
    const auto peer = ParseMember(item->second.m_value);
    if (peer && peer->m_host != m_settings.m_host) {
      peers[peer->m_host] = *peer;
      incarnations[peer->m_host] = peer->m_incarnation;
    }
  }
  for (const auto& [host, peer] : m_reports.peers()) {
    if (!peers.contains(host)) {
      kLog.Info("host left", {{"host", host.value()}});
      m_load.ForgetPeer(host);
      m_demand.ForgetHost(host);
      m_avoided_by_peers.erase(host);
    }
  }
  m_reports.SetPeers(peers);
  m_frontend.SetPeers(incarnations);

  std::vector<std::string> names = {m_settings.m_host.value()};
  for (const auto& [host, peer] : peers) {
    names.push_back(host.value());
  }
  const auto order = RendezvousOrder(kHolderKey, names);
  const auto own = std::find(order.begin(), order.end(), 0U) - order.begin();
  m_holder_lease.Observe(keys.contains(kHolderKey), kCandidateStep * own);
}

void HostDaemon::OnDemand() {
  if (!m_holder_lease.held()) {
    m_reports.SendSoonTo(Holder());
    return;
  }
  if (!m_plan_soon) {
    m_plan_soon = m_loop.After(kPlanDelay, [this] {
      m_plan_soon.reset();
      m_demand.TakeReport(m_settings.m_host, m_incarnation, m_frontend.Wants(),
                          m_loop.Now());
      m_orders.Plan();
    });
  }
}

wire::HostReportT HostDaemon::MakeReport() {
  wire::HostReportT report;
  report.host = m_settings.m_host.value();
  report.incarnation = m_incarnation;
  for (const routing::EndpointUse& use : m_load.OwnUses()) {
    auto row = std::make_unique<wire::EndpointUseRowT>();
    row->endpoint = use.m_endpoint.value();
    row->model = use.m_model.value();
    row->running = static_cast<std::uint32_t>(use.m_running);
    report.uses.push_back(std::move(row));
  }
  for (const placement::ModelWant& want : m_frontend.Wants()) {
    auto row = std::make_unique<wire::ModelWantRowT>();
    row->service = want.m_service.value();
    row->model = want.m_model.value();
    row->adapter = want.m_adapter.value();
    row->waiting = static_cast<std::uint32_t>(want.m_waiting);
    row->arrivals = want.m_arrivals;
    report.wants.push_back(std::move(row));
  }
  for (const auto& [account, admitted] : m_frontend.ReportAdmittedTokens()) {
    auto row = std::make_unique<wire::AccountUseRowT>();
    row->account = account.value();
    row->admitted_tokens = admitted;
    report.accounts.push_back(std::move(row));
  }
  for (const auto& [id, entry] : m_knowledge.directory().entries()) {
    if (m_health.Avoided(id, m_loop.Now())) {
      report.avoided.push_back(id.value());
    }
  }
  report.gives_orders = m_holder_lease.valid();
  if (report.gives_orders) {
    for (const auto& [service, planner] : m_orders.planners()) {
      for (const auto& [engine, models] : planner->Adapters()) {
        for (const auto& [model, adapters] : models) {
          auto row = std::make_unique<wire::EngineAdapterRowT>();
          row->endpoint = engine.value();
          row->model = model.value();
          for (const AdapterId& adapter : adapters) {
            row->adapters.push_back(adapter.value());
          }
          report.adapters.push_back(std::move(row));
        }
      }
      for (const auto& [engine, model] : planner->Leaving()) {
        auto row = std::make_unique<wire::EngineModelRowT>();
        row->endpoint = engine.value();
        row->model = model.value();
        report.leaving_models.push_back(std::move(row));
      }
    }
  }
  return report;
}

void HostDaemon::TakeReport(const wire::HostReportT& report) {
  const HostId host(report.host);
  const MonotonicTime now = m_loop.Now();
  std::vector<routing::EndpointUse> uses;
  for (const auto& row : report.uses) {
    uses.push_back({.m_endpoint = EndpointId(row->endpoint),
                    .m_model = ModelId(row->model),
                    .m_running = static_cast<int>(row->running)});
  }
  m_load.TakeReport(host, uses);
  std::vector<placement::ModelWant> wants;
  for (const auto& row : report.wants) {
    wants.push_back({.m_service = ServiceId(row->service),
                     .m_model = ModelId(row->model),
                     .m_adapter = AdapterId(row->adapter),
                     .m_waiting = static_cast<int>(row->waiting),
                     .m_arrivals = row->arrivals});
  }
  m_demand.TakeReport(host, report.incarnation, wants, now);
  for (const auto& row : report.accounts) {
    m_frontend.TakeAccountReport(host, report.incarnation,
                                 ClientAccountId(row->account),
                                 row->admitted_tokens);
  }
  std::set<EndpointId>& avoided = m_avoided_by_peers[host];
  avoided.clear();
  for (const std::string& id : report.avoided) {
    avoided.emplace(id);
  }
  if (report.gives_orders && host == Holder()) {
    std::set<ReplicaMap::Adapter> adapters;
    std::set<ReplicaMap::Model> leaving;
    for (const auto& row : report.adapters) {
      for (const std::string& adapter : row->adapters) {
        adapters.emplace(EndpointId(row->endpoint), ModelId(row->model),
                         AdapterId(adapter));
      }
    }
    for (const auto& row : report.leaving_models) {
      leaving.emplace(EndpointId(row->endpoint), ModelId(row->model));
    }
    m_replicas.Set(std::move(adapters), std::move(leaving));
  }
  m_frontend.Reconsider();
  m_orders.Plan();
}

void HostDaemon::AnnounceReplicas() {
  std::set<ReplicaMap::Adapter> adapters;
  std::set<ReplicaMap::Model> leaving;
  for (const auto& [service, planner] : m_orders.planners()) {
    for (const auto& [engine, models] : planner->Adapters()) {
      for (const auto& [model, names] : models) {
        for (const AdapterId& adapter : names) {
          adapters.emplace(engine, model, adapter);
        }
      }
    }
    for (const auto& [engine, model] : planner->Leaving()) {
      leaving.emplace(engine, model);
    }
  }
  m_replicas.Set(std::move(adapters), std::move(leaving));
  m_reports.SendSoon();
  m_frontend.Reconsider();
}

bool HostDaemon::AvoidedForPlacement(const EndpointId& id) const {
  // One host's failures may be its own links'.
  constexpr std::size_t kWitnesses = 2;
  std::size_t witnesses = m_health.Avoided(id, m_loop.Now()) ? 1 : 0;
  for (const auto& [host, avoided] : m_avoided_by_peers) {
    witnesses += avoided.contains(id) ? 1 : 0;
  }
  return witnesses >= kWitnesses;
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
  m_demand.TakeReport(m_settings.m_host, m_incarnation, m_frontend.Wants(),
                      now);
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
  m_stop_tick =
      m_loop.Every(milliseconds(50), [this] { ContinueStop(); });
}

void HostDaemon::ContinueStop() {
  const Duration passed = m_loop.Now() - m_stop_began;
  if (passed < kStopLinger) {
    return;
  }
  m_callers.CloseIdle();
  const bool late = passed > m_settings.m_bounds.m_stop_grace - kStopReserve;
  // A connection stays until its caller has read the last answer.
  const bool busy = m_frontend.open() > 0 || m_callers.connections() > 0;
  if (busy && !late) {
    return;
  }
  m_stop_tick.reset();
  m_frontend.AbortAll();
  m_registration.End([this] {
    kLog.Info("stopped", {{"host", m_settings.m_host.value()}});
    m_loop.Stop();
  });
}

}  // namespace hickoryloft::host
