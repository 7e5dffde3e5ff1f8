#include "coordinator/endpoint_table.h"

#include <memory>
#include <string>
#include <utility>

namespace hickoryloft::coordinator {
namespace {

using wire::EndpointStateT;

EndpointStateT ToEndpointState(const keyvalue::ListedTarget& target) {
  EndpointStateT state;
  state.id = target.m_name;
  state.kind = target.m_role == keyvalue::ListedRole::kEngine
                   ? wire::EndpointKind::Engine
                   : wire::EndpointKind::Service;
  state.service = target.m_service.value();
  state.address = target.m_address;
  state.port = target.m_port;
  state.failure_domain = target.m_failure_domain.value();
  state.leaving = target.m_leaving;
  return state;
}

wire::ReplicaPhase ToWire(endpoint::ArtifactPhase phase) {
  switch (phase) {
    case endpoint::ArtifactPhase::kLoading:
      return wire::ReplicaPhase::Loading;
    case endpoint::ArtifactPhase::kReady:
      return wire::ReplicaPhase::Ready;
    case endpoint::ArtifactPhase::kUnloading:
      return wire::ReplicaPhase::Unloading;
  }
  return wire::ReplicaPhase::Unknown;
}

std::unique_ptr<wire::ReplicaStateT> ToWire(
    const endpoint::InventoryItem& item) {
  auto replica = std::make_unique<wire::ReplicaStateT>();
  replica->model = item.m_artifact.m_model.value();
  replica->adapter = item.m_artifact.m_adapter.value();
  replica->version = item.m_artifact.m_version;
  replica->phase = ToWire(item.m_phase);
  replica->bytes = item.m_bytes;
  return replica;
}

std::unique_ptr<wire::CachedStateT> ToWire(
    const endpoint::CachedCheckpoint& cached) {
  auto state = std::make_unique<wire::CachedStateT>();
  state->model = cached.m_artifact.m_model.value();
  state->adapter = cached.m_artifact.m_adapter.value();
  state->version = cached.m_artifact.m_version;
  state->tier = static_cast<std::uint8_t>(cached.m_tier);
  return state;
}

// Returns `state` updated with the engine's report.
EndpointStateT WithReport(EndpointStateT state,
                          const endpoint::InventoryReport& report) {
  state.leaving = report.m_leaving;
  state.reachable = true;
  state.checks_fencing = report.m_checks_fencing;
  state.memory_bytes = report.m_memory_bytes;
  state.replicas.clear();
  for (const endpoint::InventoryItem& item : report.m_items) {
    state.replicas.push_back(ToWire(item));
  }
  state.cached.clear();
  for (const endpoint::CachedCheckpoint& cached : report.m_cached) {
    state.cached.push_back(ToWire(cached));
  }
  return state;
}

std::string Serialize(const EndpointStateT& state) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::EndpointState::Pack(builder, &state));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

// Copies the fields that come from the host list, except `leaving`, to `state`.
// Returns whether any of them changed.
bool CopyListedFields(const EndpointStateT& listed, EndpointStateT& state) {
  const bool same =
      state.kind == listed.kind && state.service == listed.service &&
      state.address == listed.address && state.port == listed.port &&
      state.failure_domain == listed.failure_domain;
  state.kind = listed.kind;
  state.service = listed.service;
  state.address = listed.address;
  state.port = listed.port;
  state.failure_domain = listed.failure_domain;
  return !same;
}

}  // namespace

EndpointSet EndpointTable::ApplyHostList(
    const std::vector<keyvalue::ListedTarget>& targets) {
  EndpointSet changed;
  EndpointSet listed;
  for (const keyvalue::ListedTarget& target : targets) {
    if (target.m_role == keyvalue::ListedRole::kHost) {
      continue;
    }
    const EndpointId id(target.m_name);
    listed.insert(id);
    if (ApplyListedState(ToEndpointState(target))) {
      changed.insert(id);
    }
  }
  std::erase_if(m_entries, [&](const auto& item) {
    const bool is_removed = listed.count(item.first) == 0;
    if (is_removed) {
      changed.insert(item.first);
    }
    return is_removed;
  });
  return changed;
}

bool EndpointTable::ApplyListedState(const EndpointStateT& listed) {
  const auto [found, added] = m_entries.try_emplace(EndpointId(listed.id));
  EndpointEntry& entry = found->second;
  if (added) {
    entry.m_state.id = listed.id;
    // A plain service has no reports; it counts as reachable while it is
    // listed.
    entry.m_state.reachable = listed.kind == wire::EndpointKind::Service;
  }
  const bool fields_changed = CopyListedFields(listed, entry.m_state);
  const bool leaving_changed = entry.m_listed_leaving != listed.leaving;
  entry.m_listed_leaving = listed.leaving;
  return added || fields_changed || leaving_changed;
}

EndpointSet EndpointTable::ApplyUpdate(const wire::EndpointUpdateT& update) {
  EndpointSet changed;
  for (const auto& state : update.endpoints) {
    const bool state_changed = state->sequence == 0 ? ApplyListedState(*state)
                                                    : ApplyEngineState(*state);
    if (state_changed) {
      changed.insert(EndpointId(state->id));
    }
  }
  for (const std::string& removed : update.removed) {
    if (m_entries.erase(EndpointId(removed)) > 0) {
      changed.insert(EndpointId(removed));
    }
  }
  return changed;
}

bool EndpointTable::ApplyEngineState(const EndpointStateT& state) {
  const auto [found, added] = m_entries.try_emplace(EndpointId(state.id));
  EndpointEntry& entry = found->second;
  if (!added && entry.m_state.sequence >= state.sequence) {
    return false;
  }
  entry.m_state = state;
  return true;
}

bool EndpointTable::ApplyReport(const EndpointId& id,
                                const endpoint::InventoryReport& report) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return false;
  }
  EndpointEntry& entry = found->second;
  entry.m_waiting = report.m_waiting;
  entry.m_running = report.m_running;
  EndpointStateT observed = WithReport(entry.m_state, report);
  if (entry.m_state.sequence > 0 &&
      Serialize(observed) == Serialize(entry.m_state)) {
    return false;
  }
  ++observed.sequence;
  entry.m_state = std::move(observed);
  return true;
}

bool EndpointTable::MarkUnreachable(const EndpointId& id) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end() || !found->second.m_state.reachable) {
    return false;
  }
  found->second.m_state.reachable = false;
  ++found->second.m_state.sequence;
  return true;
}

EndpointSet EndpointTable::SetDraining(const std::set<EndpointId>& draining) {
  EndpointSet changed;
  for (auto& [id, entry] : m_entries) {
    const bool is_draining = draining.count(id) > 0;
    if (is_draining != entry.m_draining) {
      entry.m_draining = is_draining;
      changed.insert(id);
    }
  }
  return changed;
}

const EndpointEntry* EndpointTable::Find(const EndpointId& id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second;
}

endpoint::EndpointAddress EndpointTable::AddressOf(const EndpointId& id) const {
  const EndpointStateT& state = m_entries.at(id).m_state;
  return {.m_id = id, .m_address = state.address, .m_port = state.port};
}

bool EndpointTable::IsLeaving(const EndpointEntry& entry) {
  return entry.m_state.leaving || entry.m_listed_leaving || entry.m_draining;
}

wire::EndpointUpdateT EndpointTable::MakeHostUpdate(
    const EndpointSet& ids) const {
  wire::EndpointUpdateT update;
  for (const EndpointId& id : ids) {
    const EndpointEntry* entry = Find(id);
    if (entry == nullptr) {
      update.removed.push_back(id.value());
      continue;
    }
    auto listed = std::make_unique<EndpointStateT>();
    listed->id = id.value();
    CopyListedFields(entry->m_state, *listed);
    listed->leaving = entry->m_listed_leaving;
    update.endpoints.push_back(std::move(listed));
    if (entry->m_state.sequence > 0) {
      update.endpoints.push_back(
          std::make_unique<EndpointStateT>(entry->m_state));
    }
  }
  return update;
}

EndpointStateT EndpointTable::StateForEntries(
    const EndpointEntry& entry) const {
  EndpointStateT state = entry.m_state;
  state.leaving = IsLeaving(entry);
  state.cached.clear();
  if (!state.reachable) {
    for (auto& replica : state.replicas) {
      replica->phase = wire::ReplicaPhase::Unknown;
    }
  }
  return state;
}

wire::EndpointUpdateT EndpointTable::MakeEntryUpdate(
    const EndpointSet& ids) const {
  wire::EndpointUpdateT update;
  for (const EndpointId& id : ids) {
    const EndpointEntry* entry = Find(id);
    if (entry == nullptr) {
      update.removed.push_back(id.value());
      continue;
    }
    update.endpoints.push_back(
        std::make_unique<EndpointStateT>(StateForEntries(*entry)));
  }
  return update;
}

wire::EndpointUpdateT EndpointTable::MakeFullEntryUpdate() const {
  wire::EndpointUpdateT update;
  update.full = true;
  for (const auto& [id, entry] : m_entries) {
    update.endpoints.push_back(
        std::make_unique<EndpointStateT>(StateForEntries(entry)));
  }
  return update;
}

placement::EndpointView EndpointTable::PlacementViewOf(
    const EndpointId& id) const {
  const EndpointEntry& entry = m_entries.at(id);
  const EndpointStateT& state = entry.m_state;
  placement::EndpointView view{
      .m_id = id,
      .m_failure_domain = FailureDomainId(state.failure_domain),
      .m_leaving = IsLeaving(entry),
      .m_reachable = state.reachable,
      .m_checks_fencing = state.checks_fencing,
      .m_memory_bytes = state.memory_bytes,
      .m_waiting = entry.m_waiting,
      .m_running = entry.m_running};
  for (const auto& cached : state.cached) {
    const endpoint::Artifact artifact{.m_model = ModelId(cached->model),
                                      .m_adapter = AdapterId(cached->adapter),
                                      .m_version = cached->version};
    view.m_tiers[artifact] =
        static_cast<endpoint::CheckpointTier>(cached->tier);
  }
  return view;
}

}  // namespace hickoryloft::coordinator
