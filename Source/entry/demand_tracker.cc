#include "entry/demand_tracker.h"

#include <algorithm>

namespace hickoryloft::entry {

namespace {

bool MatchAll(const DemandWait& /*wait*/) {
  return true;
}

DemandResult TooLateResult(Duration retry_after) {
  return {.m_too_late = true, .m_retry_after = retry_after};
}

}  // namespace

void DemandTracker::Wait(DemandWait wait) {
  const std::string served_name = wait.m_served_name;
  Demand& demand = m_demands[served_name];
  if (demand.m_ready_at && *demand.m_ready_at > wait.m_deadline) {
    wait.m_callback(TooLateResult(*demand.m_ready_at - wait.m_deadline));
    return;
  }
  m_served_name_by_id.emplace(wait.m_id, served_name);
  demand.m_waits.push_back(std::move(wait));
  // A pending reply or the next scheduled demand covers this wait too.
  if (!demand.m_reply_pending && !demand.m_resend_timer) {
    SendDemand(served_name);
  }
}

void DemandTracker::ReportUse(const std::string& served_name,
                              const endpoint::Artifact& artifact,
                              const ClientAccountId& account) {
  const MonotonicTime now = m_loop.Now();
  const auto last_report = m_last_use_reports.find(served_name);
  if (last_report != m_last_use_reports.end() &&
      now - last_report->second < kUseReportInterval) {
    return;
  }
  std::erase_if(m_last_use_reports, [now](const auto& item) {
    return now - item.second >= kUseReportInterval;
  });
  m_last_use_reports[served_name] = now;
  wire::DemandRequestT request;
  request.account = account.value();
  request.model = artifact.m_model.value();
  request.adapter = artifact.m_adapter.value();
  request.version = artifact.m_version;
  request.requests = 1;
  m_link.Request(wire::MakeEnvelope(std::move(request)), kReplyTimeout,
                 [](const Result<wire::EnvelopeT>& /*reply*/) {});
}

void DemandTracker::Cancel(std::uint64_t id) {
  const auto found = m_served_name_by_id.find(id);
  if (found == m_served_name_by_id.end()) {
    return;
  }
  const auto demand = m_demands.find(found->second);
  m_served_name_by_id.erase(found);
  std::erase_if(demand->second.m_waits,
                [id](const DemandWait& wait) { return wait.m_id == id; });
  if (demand->second.m_waits.empty() && !demand->second.m_reply_pending) {
    m_demands.erase(demand);
  }
}

void DemandTracker::SendDemand(const std::string& served_name) {
  Demand& demand = m_demands[served_name];
  demand.m_resend_timer.reset();
  if (demand.m_waits.empty()) {
    m_demands.erase(served_name);
    return;
  }
  const MonotonicTime now = m_loop.Now();
  const DemandWait& first = demand.m_waits.front();
  wire::DemandRequestT request;
  request.account = first.m_account.value();
  request.model = first.m_artifact.m_model.value();
  request.adapter = first.m_artifact.m_adapter.value();
  request.version = first.m_artifact.m_version;
  demand.m_demanded_deadline = first.m_deadline;
  for (const DemandWait& wait : demand.m_waits) {
    demand.m_demanded_deadline =
        std::max(demand.m_demanded_deadline, wait.m_deadline);
    request.weight = std::max(request.weight, wait.m_weight);
  }
  const milliseconds patience =
      std::max(milliseconds(0), ToMillis(demand.m_demanded_deadline - now));
  request.patience_ms = static_cast<std::uint32_t>(patience.count());
  request.requests = static_cast<std::uint32_t>(demand.m_waits.size());
  demand.m_reply_pending = true;
  m_link.Request(wire::MakeEnvelope(request), kReplyTimeout,
                 [this, served_name, alive = std::weak_ptr<int>(m_alive)](
                     const Result<wire::EnvelopeT>& reply) {
                   if (!alive.expired()) {
                     OnReply(served_name, reply);
                   }
                 });
}

void DemandTracker::OnReply(const std::string& served_name,
                            const Result<wire::EnvelopeT>& reply) {
  const auto found = m_demands.find(served_name);
  if (found == m_demands.end()) {
    return;
  }
  found->second.m_reply_pending = false;
  if (found->second.m_waits.empty()) {
    m_demands.erase(found);
    return;
  }
  const wire::DemandReplyT* answer =
      reply ? reply.value().body.AsDemandReply() : nullptr;
  if (answer == nullptr) {
    // The coordinator may be restarting. Requests cancel their waits at their
    // deadlines.
    ScheduleDemand(served_name, kFailureRetryDelay);
    return;
  }
  switch (answer->verdict) {
    case wire::DemandVerdict::Ready:
      // OnEndpointsChanged() ends the waits once the EndpointUpdate arrives.
      ScheduleDemand(served_name, kDemandInterval);
      return;
    case wire::DemandVerdict::Loading:
      OnLoading(served_name, milliseconds(answer->ready_in_ms));
      return;
    case wire::DemandVerdict::Refused:
      OnRefused(served_name, *answer);
      return;
  }
}

void DemandTracker::OnLoading(const std::string& served_name,
                              Duration ready_in) {
  const MonotonicTime ready_at = m_loop.Now() + ready_in;
  m_demands.at(served_name).m_ready_at = ready_at;
  ScheduleDemand(served_name, kDemandInterval);
  EndWaits(
      served_name,
      [ready_at](const DemandWait& wait) { return wait.m_deadline < ready_at; },
      TooLateResult(ready_in));
}

void DemandTracker::OnRefused(const std::string& served_name,
                              const wire::DemandReplyT& reply) {
  Demand& demand = m_demands.at(served_name);
  const MonotonicTime demanded_deadline = demand.m_demanded_deadline;
  demand.m_ready_at.reset();
  const bool has_later_deadline =
      std::any_of(demand.m_waits.begin(), demand.m_waits.end(),
                  [demanded_deadline](const DemandWait& wait) {
                    return wait.m_deadline > demanded_deadline;
                  });
  EndWaits(served_name,
           [demanded_deadline](const DemandWait& wait) {
             return wait.m_deadline <= demanded_deadline;
           },
           {.m_retry_after = milliseconds(reply.retry_after_ms),
            .m_reason = reply.reason});
  if (has_later_deadline) {
    SendDemand(served_name);
  }
}

void DemandTracker::ScheduleDemand(const std::string& served_name,
                                   Duration delay) {
  m_demands.at(served_name).m_resend_timer =
      m_loop.After(delay, [this, served_name] { SendDemand(served_name); });
}

void DemandTracker::OnEndpointsChanged(
    const std::function<bool(const std::string&)>& is_ready) {
  std::vector<std::string> ready;
  for (const auto& [served_name, demand] : m_demands) {
    if (is_ready(served_name)) {
      ready.push_back(served_name);
    }
  }
  for (const std::string& served_name : ready) {
    EndWaits(served_name, &MatchAll, {.m_ready = true});
  }
}

void DemandTracker::EndWaits(
    const std::string& served_name,
    const std::function<bool(const DemandWait&)>& matches,
    const DemandResult& result) {
  const auto found = m_demands.find(served_name);
  if (found == m_demands.end()) {
    return;
  }
  std::vector<DemandWait> ended;
  std::vector<DemandWait> kept;
  for (DemandWait& wait : found->second.m_waits) {
    (matches(wait) ? ended : kept).push_back(std::move(wait));
  }
  found->second.m_waits = std::move(kept);
  if (found->second.m_waits.empty() && !found->second.m_reply_pending) {
    m_demands.erase(found);
  }
  for (const DemandWait& wait : ended) {
    m_served_name_by_id.erase(wait.m_id);
  }
  for (const DemandWait& wait : ended) {
    wait.m_callback(result);
  }
}

}  // namespace hickoryloft::entry
