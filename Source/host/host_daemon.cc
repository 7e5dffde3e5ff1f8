#include "host/host_daemon.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "membership/candidate_delay.h"
#include "membership/watch_intervals.h"

namespace hickoryloft::host {

namespace {

constexpr char kPlacementLeaseKey[] = "hickoryloft/placement-holder";

// Lease of a host's registration: a host that does not renew it for this long
// is considered gone. Three times the limit on an answer of the key-value
// service.
constexpr Duration kMemberLeaseTtl = seconds(3);
constexpr Duration kTickInterval = milliseconds(250);
// Delay that merges simultaneous registrations into one update of the members.
constexpr Duration kMemberDelay = milliseconds(50);
const Logger kLog("host");

membership::PlacementLeaseTiming LeaseTimingOf(const HostSettings& settings) {
  membership::PlacementLeaseTiming timing;
  timing.m_ttl = std::max(timing.m_ttl, settings.m_min_lease);
  timing.m_gap = settings.m_bounds.m_placement_lease_gap + milliseconds(200);
  return timing;
}

}  // namespace

HostDaemon::HostDaemon(EventLoop& loop,
                       HostSettings settings,
                       PlatformInterfaces platform)
    : m_settings(std::move(settings)),
      m_loop(loop),
      m_platform(platform),
      m_incarnation(RandomBits()),
      m_members(m_settings.m_host),
      m_random(RandomBits()),
      m_knowledge(
          loop,
          platform.m_store,
          platform.m_decoder,
          {.m_configuration_changed = [this] { OnConfiguration(); },
           .m_endpoint_changed =
               [this](const EndpointId& id) { OnEndpoint(id); },
           .m_own_keys_changed = [this] { OnOwnKeys(); },
           .m_batch_applied =
               [this](Revision from, const keyvalue::WatchBatch& batch) {
                 m_changes.Append(from, batch);
                 m_exchange.SendChangesToLeaves();
               }}),
      m_readiness(loop, m_settings, m_knowledge),
      m_context(MakeContext()),
      m_frontend(m_context),
      m_exchange(
          loop,
          m_settings.m_host,
          membership::MemberInfo{
              .m_failure_domain = m_settings.m_failure_domain,
              .m_capacity = m_settings.m_capacity},
          m_incarnation,
          m_settings.m_address,
          m_settings.m_peer_port,
          {.m_own_counts = [this] { return OwnCounts(); },
           .m_collect_own_demand = [this] { return CollectOwnDemand(); },
           .m_on_other_hosts =
               [this](const OtherHostsView& others) {
                 ApplyOtherHosts(others);
               },
           .m_on_group_demand =
               [this](const HostId& relay, membership::EngineDemand demand) {
                 HandleGroupDemand(relay, std::move(demand));
               },
           .m_apply_placement_update =
               [this](const placement::PlacementUpdate& update) {
                 return ApplyPlacementUpdate(update);
               },
           .m_placement_update_since =
               [this](placement::PlacementVersion known) {
                 return m_replicas.log().Since(known, m_loop.Now());
               },
           .m_placement_version = [this] { return m_replicas.log().version(); },
           .m_store_freshness = [this] { return OwnStoreFreshness(); },
           .m_store_changes_since =
               [this](Revision known) { return m_changes.Since(known); },
           .m_on_peer_knowledge =
               [this](const StoreKnowledge& known) {
                 const Era era = EraOf(known.m_revision);
                 if (m_knowledge.ObserveEra(era)) {
                   m_placement_lease.RecordRestore(era);
                 }
                 m_knowledge.ObserveConfiguration(known.m_configuration,
                                                  known.m_revision);
                 m_readiness.RecordPeerConfiguration(known.m_configuration);
               },
           .m_on_store_changes =
               [this](const fleet::ChangeSpan& span) {
                 m_knowledge.ApplyChanges(span);
               },
           .m_on_store_confirmation =
               [this](Revision revision, MonotonicTime as_of) {
                 // The placement leader relies on its own watch only.
                 if (!m_placement_lease.held()) {
                   m_knowledge.ApplyProof(revision, as_of);
                 }
               }}),
      m_permits(loop,
                m_settings.m_host,
                m_knowledge,
                m_exchange,
                [this] { m_frontend.RetryWaiting(); }),
      m_probe(loop, platform.m_engines),
      m_crash_guard(
          loop,
          m_settings.m_host,
          platform.m_store,
          m_probe,
          [this]() -> const auto& { return m_knowledge.own_keys(); },
          [this] { m_frontend.RetryWaiting(); }),
      m_registration(loop,
                     platform.m_store,
                     RegistrationKey(m_settings, m_incarnation),
                     RegistrationText(m_settings, m_incarnation),
                     std::max(kMemberLeaseTtl, m_settings.m_min_lease)),
      m_placement_lease(loop,
                        platform.m_store,
                        kPlacementLeaseKey,
                        m_settings.m_host,
                        LeaseTimingOf(m_settings)),
      m_placement_controller(
          loop,
          platform.m_engines,
          {.m_knowledge = m_knowledge,
           .m_demand = m_demand,
           .m_lease = m_placement_lease,
           .m_running =
               [this](const EndpointId& id, const ModelId& model) {
                 return m_load.Total(id, model);
               },
           .m_avoided =
               [this](const EndpointId& id) { return AvoidedForPlacement(id); },
           .m_host = m_settings.m_host,
           .m_metrics = m_metrics},
          [this] { PublishPlacementState(); }),
      m_callers(loop,
                m_settings.m_callers.m_address,
                m_settings.m_callers.m_port,
                [this](std::shared_ptr<http::ServerExchange> exchange) {
                  m_frontend.HandleRequest(std::move(exchange));
                }),
      m_readiness_server(
          loop,
          m_settings.m_readiness.m_address,
          m_settings.m_readiness.m_port,
          [this](const std::shared_ptr<http::ServerExchange>& check) {
            check->Answer(m_readiness.Ready(m_stopping) ? 200 : 503, {}, "");
          }),
      m_metrics_server(
          loop,
          m_settings.m_metrics.m_address,
          m_settings.m_metrics.m_port,
          [this](const std::shared_ptr<http::ServerExchange>& read) {
            UpdateReadMetrics();
            read->Answer(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                         m_metrics.registry().ToPrometheusText());
          }) {
  kLog.Info("started", {{"host", m_settings.m_host.value()},
                        {"failure_domain", m_settings.m_failure_domain.value()},
                        {"incarnation", m_incarnation}});
  platform.m_store.SetRestoredHandler(
      [this](Era era) { OnStoreRestored(era); });
  ApplyEvacuationBound();
  m_knowledge.Start();
  m_registration.Start();
  m_tick_due = m_loop.Now() + kTickInterval;
  m_tick = m_loop.Every(kTickInterval, [this] { Tick(); });
}

void HostDaemon::ApplyEvacuationBound() {
  if (m_settings.m_bounds.m_evacuation) {
    m_knowledge.SetEvacuationBound(*m_settings.m_bounds.m_evacuation);
  }
}

RequestContext HostDaemon::MakeContext() {
  return {
      .m_loop = m_loop,
      .m_settings = m_settings,
      .m_knowledge = m_knowledge,
      .m_protocol = m_platform.m_protocol,
      .m_client = m_platform.m_client,
      .m_load = m_load,
      .m_health = m_health,
      .m_replicas = m_replicas,
      .m_permits = m_permits,
      .m_crash_guard = m_crash_guard,
      .m_probe = m_probe,
      .m_random = m_random,
      .m_metrics = m_metrics,
      .m_answers = m_platform.m_answers,
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
      .m_keys_current = [this] { return m_readiness.KeysCurrent(); },
      .m_on_demand_changed = [this] { OnWaitingRequest(); },
      .m_on_endpoint_leaving =
          [this](const EndpointId& id, std::int64_t started_at_ms) {
            m_knowledge.MarkLeaving(id, started_at_ms, "answer");
          },
      .m_on_endpoint_cold =
          [this](const EndpointId& id, std::int64_t started_at_ms,
                 Duration cold) {
            m_knowledge.MarkCold(id, started_at_ms, cold);
          },
      .m_on_report_due =
          [this] { m_exchange.ScheduleUrgentReport(FleetExchange::kAccounts); },
  };
}

void HostDaemon::OnConfiguration() {
  const fleet::Configuration& configuration =
      m_knowledge.configuration()->configuration();
  const fleet::CallerLimits& limits = configuration.m_limits;
  m_callers.SetLimits({.m_max_head_bytes = limits.m_max_header_bytes,
                       .m_max_body_bytes = limits.m_max_body_bytes,
                       .m_max_total_body_bytes = m_settings.body_bytes(),
                       .m_head_timeout = limits.m_header_timeout,
                       .m_idle_timeout = limits.m_idle_timeout});
  m_metrics.m_configuration_version.Set(
      static_cast<double>(configuration.m_version));
  m_frontend.ApplyConfiguration();
  m_placement_controller.PlanSoon();
}

void HostDaemon::OnEndpoint(const EndpointId& id) {
  if (m_knowledge.directory().Find(id) == nullptr) {
    m_health.Forget(id);
  }
  m_frontend.RetryWaiting();
  m_placement_controller.PlanSoon();
}

HostId HostDaemon::PlacementLeader() const {
  const auto key = m_knowledge.own_keys().find(kPlacementLeaseKey);
  return key == m_knowledge.own_keys().end() ? HostId()
                                             : HostId(key->second.m_value);
}

void HostDaemon::OnOwnKeys() {
  // Hosts that start together register within a second.
  if (!m_members_timer) {
    m_members_timer = m_loop.After(kMemberDelay, [this] {
      m_members_timer.reset();
      if (m_members.Update(m_knowledge.own_keys(),
                           m_knowledge.LapseDeadline())) {
        m_exchange.SetPeers(m_members.peers());
      }
    });
  }
  FollowPlacementLeader();
  m_crash_guard.ApplyOwnKeys();
}

void HostDaemon::OnStoreRestored(Era era) {
  m_knowledge.ObserveEra(era);
  m_registration.ConfirmNow();
  m_placement_lease.RecordRestore(era);
  m_placement_lease.ConfirmNow();
}

void HostDaemon::FollowPlacementLeader() {
  m_exchange.SetPlacementLeader(PlacementLeader());
  const bool other_leader =
      !PlacementLeader().empty() && PlacementLeader() != m_settings.m_host;
  const membership::WatchIntervals pace = membership::WatchIntervalsFor(
      !other_leader                 ? membership::WatchRole::kLeader
      : m_exchange.relays_changes() ? membership::WatchRole::kRelay
                                    : membership::WatchRole::kLeaf,
      {.m_drain = m_settings.m_bounds.m_drain,
       .m_key_withdrawal = m_settings.m_bounds.m_key_withdrawal,
       .m_evacuation = m_settings.m_bounds.m_evacuation});
  m_knowledge.SetBatchPause(pace.m_batch_pause);
  m_knowledge.SetPollWait(pace.m_quiet_wait);
  m_knowledge.SetMaxRelayedAge(pace.m_max_relayed_age);
  const bool lease_taken = m_knowledge.own_keys().contains(kPlacementLeaseKey);
  m_placement_lease.Observe(
      lease_taken, lease_taken ? Duration{}
                               : membership::CandidateDelay(
                                     m_settings.m_host, m_exchange.groups(),
                                     kPlacementLeaseKey));
}

void HostDaemon::OnWaitingRequest() {
  m_exchange.ScheduleUrgentReport(FleetExchange::kDemand);
}

membership::FleetCounts HostDaemon::OwnCounts() {
  membership::FleetCounts counts;
  for (const auto& [key, running] : m_load.own_endpoint_levels()) {
    counts.m_running.emplace_back(key, running);
  }
  for (const auto& [id, witnesses] : m_health.AllFailureVotes(m_loop.Now())) {
    counts.m_avoided.emplace_back(routing::KeyOf(id), witnesses);
  }
  // The models of a limited endpoint need replicas elsewhere.
  for (const EndpointId& id : m_permits.LimitedEndpoints()) {
    counts.m_avoided.emplace_back(routing::KeyOf(id),
                                  routing::EndpointHealth::kDecisiveVotes);
  }
  for (const auto& leaving : m_knowledge.directory().leaving()) {
    if (m_knowledge.directory().Find(leaving.first) != nullptr) {
      counts.m_leaving.insert(leaving);
    }
  }
  m_frontend.AddCounts(counts);
  return counts;
}

membership::EngineDemand HostDaemon::CollectOwnDemand() {
  membership::EngineDemand demand{.m_running = m_load.own_model_levels()};
  m_frontend.AddDemand(demand);
  return demand;
}

void HostDaemon::PublishPlacementState() {
  if (!m_placement_lease.valid()) {
    return;  // An engine answered after the lease was given up.
  }
  if (m_replicas.Publish(m_placement_lease.fence(),
                         m_placement_controller.CollectState(), m_loop.Now())) {
    m_exchange.ScheduleUrgentReport(FleetExchange::kPlacement);
    m_frontend.RetryWaiting();
  }
}

void HostDaemon::ApplyOtherHosts(const OtherHostsView& others) {
  m_load.SetOthers(others.m_counts.m_running);
  m_avoided_by_others = {others.m_counts.m_avoided.begin(),
                         others.m_counts.m_avoided.end()};
  for (const auto& [id, started_at_ms] : others.m_counts.m_leaving) {
    m_knowledge.MarkLeaving(id, started_at_ms, "other hosts");
  }
  m_frontend.ApplyOtherHosts(others);
  m_frontend.RetryWaiting();
}

void HostDaemon::HandleGroupDemand(const HostId& relay,
                                   membership::EngineDemand demand) {
  std::vector<placement::ModelDemandEntry> wants;
  wants.reserve(demand.m_entries.size());
  for (const auto& [key, want] : demand.m_entries) {
    wants.push_back({.m_service = key.m_service,
                     .m_model = key.m_model,
                     .m_adapter = key.m_adapter,
                     .m_waiting = want.m_waiting,
                     .m_arrivals = want.m_arrivals});
  }
  m_demand.RecordReport(relay, wants, m_loop.Now());
  m_load.SetGroupLevels(relay, std::move(demand.m_running), m_loop.Now());
  m_placement_controller.PlanSoon();
}

bool HostDaemon::ApplyPlacementUpdate(
    const placement::PlacementUpdate& update) {
  if (!m_replicas.ApplyUpdate(update, m_loop.Now())) {
    return false;
  }
  m_frontend.RetryWaiting();
  return true;
}

StoreFreshness HostDaemon::OwnStoreFreshness() const {
  if (!m_knowledge.complete()) {
    return {};
  }
  return {
      .m_known = {.m_revision = m_knowledge.revision(),
                  .m_configuration = m_knowledge.configuration()->version()},
      .m_age = m_knowledge.Age()};
}

bool HostDaemon::AvoidedForPlacement(const EndpointId& id) const {
  const auto others = m_avoided_by_others.find(routing::KeyOf(id));
  const int witnesses =
      m_health.FailureVotes(id, m_loop.Now()) +
      (others == m_avoided_by_others.end() ? 0 : others->second);
  return witnesses >= routing::EndpointHealth::kDecisiveVotes;
}

void HostDaemon::UpdateReadMetrics() {
  m_frontend.MeasureAccounts();
  for (auto& [service, budget] : m_retry_budgets) {
    m_metrics.SetRetryBudget(
        service, budget.Remaining(m_exchange.peers().size() + 1, m_loop.Now()));
  }
  m_metrics.MeasureMemory();
  m_metrics.m_answer_bytes.Set(
      static_cast<double>(m_platform.m_answers.bytes()));
  m_metrics.m_body_bytes.Set(static_cast<double>(m_callers.body_bytes()));
  m_metrics.m_bodies_rejected.Set(
      static_cast<double>(m_callers.bodies_rejected()));
  m_metrics.m_unread_answers.Set(
      static_cast<double>(m_callers.unread_answers()));
}

void HostDaemon::MeasureEvacuations() {
  const auto& evacuations = m_knowledge.evacuations();
  m_metrics.m_evacuated_domains.Set(static_cast<double>(evacuations.size()));
  int running = 0;
  if (!evacuations.empty()) {
    for (const auto& [key, count] : m_load.own_model_levels()) {
      const fleet::EndpointEntry* entry =
          m_knowledge.directory().Find(key.first);
      const bool evacuated =
          entry != nullptr && entry->m_evacuation != fleet::Evacuation::kNone;
      running += evacuated ? count : 0;
    }
  }
  m_metrics.m_evacuated_requests.Set(running);
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
  m_metrics.m_holds_lease.Set(m_placement_lease.valid() ? 1 : 0);
  m_metrics.m_held_prompt_parts.Set(
      static_cast<double>(m_crash_guard.held_parts()));
  MeasureEvacuations();
  if (m_members.RemoveLapsed(now)) {
    m_exchange.SetPeers(m_members.peers());
  }
  m_frontend.RetryWaiting();
  m_demand.Expire(now);
  m_load.ExpireGroupLevels(now);
  if (m_knowledge.complete() && !m_stopping) {
    FollowPlacementLeader();
  }
}

void HostDaemon::Reload(const HostSettings& settings) {
  m_settings.m_bounds = settings.m_bounds;
  ApplyEvacuationBound();
  kLog.Info("settings reloaded", {{"host", m_settings.m_host.value()}});
}

}  // namespace hickoryloft::host
