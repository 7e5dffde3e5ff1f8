#include "host/frontend.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "host/retry_after.h"

namespace hickoryloft::host {

namespace {

// If the view is older than this, an unknown route or key may have been added
// since.
constexpr Duration kMaxTrustedAge = milliseconds(2500);
constexpr Duration kStartingRetryAfter = milliseconds(500);
constexpr Duration kOutdatedRetryAfter = milliseconds(300);
// Lower bound on the Retry-After of an account that has used up its rate.
constexpr Duration kMinQuotaRetryAfter = milliseconds(50);
// A stopping host admits streams for this long, in which load balancers detect
// that it is not ready, although their time limits may lie past its end: a
// stream lasts a few seconds, and a refusal costs its caller's only retry.
constexpr Duration kStopStreamTime = milliseconds(2500);
// Highest urgency value, which is the least urgent; 0 is the most urgent.
constexpr int kMaxUrgency = 9;

const Logger kLog("admission");

}  // namespace

Frontend::Frontend(RequestContext& context) : m_context(context) {
  context.m_on_waiting = [this](RequestFlow& flow) { AddWaiting(flow); };
  context.m_on_finished = [this](RequestFlow& flow) { Remove(flow); };
}

void Frontend::HandleRequest(std::shared_ptr<http::ServerExchange> exchange) {
  RequestFlow::Admitted admitted;
  const auto rejection = Admit(exchange->request(), admitted);
  exchange->SetLogId(admitted.m_request.m_id);
  if (rejection) {
    Reject(*exchange, admitted, *rejection);
    return;
  }
  const fleet::CallerRequest& request = admitted.m_request;
  kLog.Info("admitted",
            {{"id", request.m_id},
             {"route", admitted.m_route->m_name},
             {"account", admitted.m_account.value()},
             {"service", admitted.m_service.value()},
             {"model", request.m_model.value()},
             {"adapter", request.m_adapter.value()},
             {"tokens", admitted.m_tokens},
             {"deadline_ms",
              ToMillis(request.m_deadline.value_or(Duration{})).count()},
             {"configuration", admitted.m_configuration->version()},
             {"view_age_ms", ToMillis(m_context.m_knowledge.Age()).count()}});
  m_context.m_retry_budget(admitted.m_service)
      .CountRequest(m_context.m_loop.Now());
  auto flow = std::make_unique<RequestFlow>(m_context, std::move(exchange),
                                            std::move(admitted));
  RequestFlow& started = *flow;
  m_flows.emplace(&started, std::move(flow));
  if (!started.admitted().m_request.m_model.empty()) {
    ++m_arrivals[DemandKey(started)];
  }
  started.Start();
}

bool Frontend::MayBeOutdated() const {
  return m_context.m_knowledge.Age() > kMaxTrustedAge ||
         m_context.m_knowledge.LacksLostConfiguration();
}

std::optional<Frontend::Rejection> Frontend::Admit(
    const http::ServerRequest& received,
    RequestFlow::Admitted& admitted) {
  if (!m_context.m_knowledge.complete()) {
    return Rejection{503, "starting", kStartingRetryAfter};
  }
  try {
    admitted.m_request = m_context.m_protocol.DecodeRequest(received);
  } catch (const Error& error) {
    kLog.Warn("cannot decode a request; answering 400",
              {{"reason", error.what()}});
    return Rejection{400, "malformed", std::nullopt};
  }
  admitted.m_request.m_body = received.m_body;
  admitted.m_configuration = m_context.m_knowledge.configuration();
  admitted.m_route = admitted.m_configuration->FindRoute(
      admitted.m_request.m_host, admitted.m_request.m_path);
  if (admitted.m_route == nullptr) {
    return MayBeOutdated()
               ? Rejection{503, "view_outdated", kOutdatedRetryAfter}
               : Rejection{404, "no_route", std::nullopt};
  }
  std::uniform_real_distribution<double> point(0, 1);
  admitted.m_service =
      fleet::PickTarget(*admitted.m_route, point(m_context.m_random));
  admitted.m_urgency = admitted.m_route->m_priority;
  if (auto rejection = CheckStopping(admitted)) {
    return rejection;
  }
  if (auto rejection = CheckKey(admitted)) {
    return rejection;
  }
  admitted.m_urgency = std::clamp(admitted.m_urgency, 0, kMaxUrgency);
  if (auto rejection = CheckServable(admitted)) {
    return rejection;
  }
  return ChargeQuota(admitted);
}

void Frontend::BeginStop(Duration grace) {
  m_stopping = true;
  m_stop_started_at = m_context.m_loop.Now();
  m_stop_ends_at = m_stop_started_at + grace;
}

std::optional<Frontend::Rejection> Frontend::CheckStopping(
    const RequestFlow::Admitted& admitted) const {
  if (!m_stopping) {
    return std::nullopt;
  }
  const MonotonicTime now = m_context.m_loop.Now();
  const bool stream =
      admitted.m_route->m_kind == fleet::RequestKind::kStreaming;
  const bool admits = stream ? now - m_stop_started_at <= kStopStreamTime &&
                                   now < m_stop_ends_at
                             : admitted.deadline() <= m_stop_ends_at;
  return admits ? std::nullopt
                : std::optional(Rejection{503, "host_stops", Duration{}});
}

std::optional<Frontend::Rejection> Frontend::CheckKey(
    RequestFlow::Admitted& admitted) {
  if (admitted.m_route->m_open) {
    return std::nullopt;
  }
  if (!m_context.m_keys_current()) {
    return Rejection{503, "knowledge_too_old", seconds(1)};
  }
  const fleet::Account* account =
      admitted.m_configuration->FindAccountByKey(admitted.m_request.m_key);
  if (account == nullptr) {
    return MayBeOutdated()
               ? Rejection{503, "view_outdated", kOutdatedRetryAfter}
               : Rejection{401, "unknown_key", std::nullopt};
  }
  admitted.m_account = account->m_id;
  admitted.m_account_homes = account->m_homes;
  admitted.m_urgency = account->m_priority.value_or(admitted.m_urgency);
  const fleet::CallerRequest& request = admitted.m_request;
  admitted.m_tokens = request.m_prompt_tokens && request.m_output_tokens
                          ? *request.m_prompt_tokens + *request.m_output_tokens
                          : account->m_plain_tokens;
  return std::nullopt;
}

std::optional<Frontend::Rejection> Frontend::CheckServable(
    const RequestFlow::Admitted& admitted) {
  const fleet::CallerRequest& request = admitted.m_request;
  if (request.m_model.empty()) {
    return std::nullopt;
  }
  const fleet::ServiceSpec* service =
      admitted.m_configuration->FindService(admitted.m_service);
  if (service == nullptr || !service->m_engine) {
    return Rejection{503, "unknown_model", std::nullopt};
  }
  const auto listed = service->m_engine->m_models.find(request.m_model);
  if (listed == service->m_engine->m_models.end()) {
    return Rejection{503, "unknown_model", std::nullopt};
  }
  const fleet::ModelSpec& spec = listed->second;
  if (!request.m_adapter.empty() && !spec.HasAdapter(request.m_adapter)) {
    return Rejection{503, "unknown_adapter", std::nullopt};
  }
  const fleet::EndpointDirectory& directory = m_context.m_knowledge.directory();
  const EndpointRequirements requirements{
      .m_service = admitted.m_service,
      .m_homes = {.m_route = admitted.m_route->m_homes,
                  .m_account = admitted.m_account_homes}};
  const EndpointFinder finder(m_context, requirements);
  const auto& holders = directory.EndpointsWithModel(request.m_model);
  if (std::any_of(holders.begin(), holders.end(), [&](const EndpointId& id) {
        const fleet::EndpointEntry& entry = *directory.Find(id);
        return entry.m_service == admitted.m_service &&
               finder.IsEligible(entry);
      })) {
    return std::nullopt;
  }
  // Reject the request if no engine can load the model before its deadline.
  Duration soonest = spec.m_load_from_store;
  for (const EndpointId& id : directory.EndpointsOf(admitted.m_service)) {
    const fleet::EndpointEntry& entry = *directory.Find(id);
    if (!finder.IsEligible(entry)) {
      continue;
    }
    const fleet::WeightTier tier = entry.TierOf(request.m_model);
    if (tier == fleet::WeightTier::kDisk) {
      soonest = std::min(soonest, spec.m_load_from_disk);
    } else if (tier == fleet::WeightTier::kHostMemory) {
      soonest = std::min(soonest, spec.m_load_from_memory);
    }
  }
  if (soonest > admitted.time_limit()) {
    return Rejection{503, "load_takes_too_long", soonest};
  }
  return std::nullopt;
}

std::optional<Frontend::Rejection> Frontend::ChargeQuota(
    RequestFlow::Admitted& admitted) {
  if (admitted.m_account.empty()) {
    return std::nullopt;
  }
  const auto quota = m_quotas.find(admitted.m_account);
  if (quota == m_quotas.end()) {
    return std::nullopt;
  }
  const auto wait =
      quota->second.Take(admitted.m_tokens, m_context.m_loop.Now());
  if (!wait) {
    if (quota->second.ReportDue()) {
      m_context.m_on_report_due();
    }
    return std::nullopt;
  }
  return Rejection{429, "account_rate_used_up",
                   std::max(*wait, kMinQuotaRetryAfter)};
}

void Frontend::Reject(http::ServerExchange& exchange,
                      const RequestFlow::Admitted& admitted,
                      const Rejection& rejection) {
  kLog.Info("rejected",
            {{"id", admitted.m_request.m_id},
             {"account", admitted.m_account.value()},
             {"model", admitted.m_request.m_model.value()},
             {"status", rejection.m_status},
             {"reason", rejection.m_reason},
             {"retry_after_ms",
              ToMillis(rejection.m_retry_after.value_or(Duration{})).count()},
             {"view_age_ms", m_context.m_knowledge.complete()
                                 ? ToMillis(m_context.m_knowledge.Age()).count()
                                 : -1}});
  m_context.m_metrics.CountRefusal(rejection.m_reason);
  m_context.m_metrics.CountOutcome(
      admitted.m_route == nullptr ? "unknown"
                                  : fleet::ToText(admitted.m_route->m_kind),
      admitted.m_account, "rejected");
  http::HeaderFields headers = {{"Content-Type", "application/problem+json"}};
  if (rejection.m_retry_after) {
    headers.push_back(RetryAfterField(*rejection.m_retry_after));
  }
  exchange.Answer(rejection.m_status, headers,
                  ProblemBody(rejection.m_status, rejection.m_reason));
}

placement::ModelDemand::Key Frontend::DemandKey(const RequestFlow& flow) const {
  return {flow.admitted().m_service, flow.admitted().m_request.m_model,
          AdapterId()};
}

void Frontend::AddWaiting(RequestFlow& flow) {
  m_waiting.emplace(std::pair(flow.admitted().m_urgency, flow.received_at()),
                    &flow);
  kLog.Info("waiting",
            {{"id", flow.admitted().m_request.m_id},
             {"model", flow.admitted().m_request.m_model.value()},
             {"adapter", flow.admitted().m_request.m_adapter.value()},
             {"endpoints", flow.DescribeEndpoints()},
             {"waiting", static_cast<std::uint64_t>(m_waiting.size())}});
  m_context.m_on_demand_changed();
}

void Frontend::Remove(RequestFlow& flow) {
  std::erase_if(m_waiting,
                [&](const auto& entry) { return entry.second == &flow; });
  if (flow.not_run() && flow.admitted().m_tokens > 0) {
    const auto quota = m_quotas.find(flow.admitted().m_account);
    if (quota != m_quotas.end()) {
      quota->second.PutBack(flow.admitted().m_tokens, m_context.m_loop.Now());
    }
  }
  m_context.m_loop.Post([this, ended = &flow] { m_flows.erase(ended); });
  RetryWaiting();
}

void Frontend::RetryWaiting() {
  if (m_retry_timer || m_waiting.empty()) {
    return;
  }
  m_retry_timer = m_context.m_loop.After(Duration{}, [this] {
    m_retry_timer.reset();
    std::vector<RequestFlow*> flows;
    flows.reserve(m_waiting.size());
    for (const auto& [rank, flow] : m_waiting) {
      flows.push_back(flow);
    }
    for (RequestFlow* flow : flows) {
      if (flow->waiting() && !flow->RetryDispatch()) {
        std::erase_if(m_waiting,
                      [&](const auto& entry) { return entry.second == flow; });
      }
    }
  });
}

void Frontend::AbortAll() {
  std::vector<RequestFlow*> flows;
  for (const auto& [flow, owned] : m_flows) {
    flows.push_back(flow);
  }
  for (RequestFlow* flow : flows) {
    flow->Abort();
  }
}

void Frontend::ApplyConfiguration() {
  const MonotonicTime now = m_context.m_loop.Now();
  const auto& accounts =
      m_context.m_knowledge.configuration()->configuration().m_accounts;
  for (const fleet::Account& account : accounts) {
    const admission::QuotaLimit limit{
        .m_tokens_per_second = account.m_tokens_per_second,
        .m_burst_tokens = account.m_burst_tokens};
    const auto known = m_quotas.find(account.m_id);
    if (known == m_quotas.end()) {
      m_quotas.emplace(account.m_id, admission::TokenQuota(limit, now));
    } else if (known->second.limit() != limit) {
      known->second.SetLimit(limit, now);
    }
  }
  RetryWaiting();
}

void Frontend::MeasureAccounts() {
  for (auto& [account, quota] : m_quotas) {
    m_context.m_metrics.SetAccountTokens(account,
                                         quota.Level(m_context.m_loop.Now()));
  }
}

void Frontend::ApplyOtherHosts(const OtherHostsView& others) {
  const MonotonicTime now = m_context.m_loop.Now();
  for (auto& [account, quota] : m_quotas) {
    const auto admitted = others.m_counts.m_admitted.find(account);
    quota.RecordOthers(
        others.m_epoch,
        admitted == others.m_counts.m_admitted.end() ? 0 : admitted->second,
        now);
    quota.SetSilentHosts(others.m_silent_hosts, others.m_hosts, now);
  }
}

void Frontend::AddCounts(membership::FleetCounts& counts) {
  for (auto& [account, quota] : m_quotas) {
    quota.MarkReported();
    if (quota.used()) {
      counts.m_admitted[account] = quota.admitted();
    }
  }
}

void Frontend::AddDemand(membership::EngineDemand& demand) {
  for (const auto& [rank, flow] : m_waiting) {
    const fleet::CallerRequest& request = flow->admitted().m_request;
    if (request.m_model.empty()) {
      continue;
    }
    ++demand.m_entries[DemandKey(*flow)].m_waiting;
    if (!request.m_adapter.empty()) {
      ++demand
            .m_entries[{flow->admitted().m_service, request.m_model,
                        request.m_adapter}]
            .m_waiting;
    }
  }
  for (const auto& [key, arrivals] : std::exchange(m_arrivals, {})) {
    demand.m_entries[key].m_arrivals = arrivals;
  }
}

}  // namespace hickoryloft::host
