#include "entry/endpoint_view.h"

#include <utility>
#include <vector>

#include "endpoint/served_name.h"

namespace hickoryloft::entry {

namespace {

routing::Replica ToReplica(const wire::ReplicaStateT& state,
                           MonotonicTime now) {
  routing::Replica replica{.m_served_name = endpoint::ServedName(
                               {.m_model = ModelId(state.model),
                                .m_adapter = AdapterId(state.adapter),
                                .m_version = state.version}),
                           .m_ready = state.phase == wire::ReplicaPhase::Ready};
  const bool becoming_ready = state.phase == wire::ReplicaPhase::Loading ||
                              state.phase == wire::ReplicaPhase::Reserved;
  if (becoming_ready) {
    replica.m_ready_at = now + milliseconds(state.ready_in_ms);
  }
  return replica;
}

routing::EndpointRecord ToRecord(const wire::EndpointStateT& state,
                                 MonotonicTime now) {
  routing::EndpointRecord record{
      .m_id = EndpointId(state.id),
      .m_role = state.kind == wire::EndpointKind::Service
                    ? routing::EndpointRole::kService
                    : routing::EndpointRole::kEngine,
      .m_service = ServiceId(state.service),
      .m_address = state.address,
      .m_port = state.port,
      .m_failure_domain = FailureDomainId(state.failure_domain),
      .m_leaving = state.leaving,
      .m_replicas = {}};
  for (const auto& replica : state.replicas) {
    const bool usable = replica->phase != wire::ReplicaPhase::Unloading &&
                        replica->phase != wire::ReplicaPhase::Unknown;
    if (usable) {
      record.m_replicas.push_back(ToReplica(*replica, now));
    }
  }
  return record;
}

}  // namespace

void ApplyEndpointUpdate(const wire::EndpointUpdateT& update,
                         MonotonicTime now,
                         routing::EndpointTable& table,
                         routing::LoadTracker& loads) {
  std::vector<routing::EndpointRecord> records;
  records.reserve(update.endpoints.size());
  for (const auto& state : update.endpoints) {
    records.push_back(ToRecord(*state, now));
    loads.OnReport(EndpointId(state->id),
                   {.m_waiting = state->waiting,
                    .m_running = state->running,
                    .m_taken_at = now - milliseconds(state->report_age_ms)});
  }
  if (update.full) {
    table.ReplaceAll(std::move(records));
    return;
  }
  for (routing::EndpointRecord& record : records) {
    table.Update(std::move(record));
  }
  for (const std::string& id : update.removed) {
    table.Remove(EndpointId(id));
    loads.Forget(EndpointId(id));
  }
}

}  // namespace hickoryloft::entry
