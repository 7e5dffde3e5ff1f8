#include "actions/action_table.h"

namespace hickoryloft::actions {

void ActionTable::Apply(const ActionRecord& record,
                        MonotonicTime running_until) {
  if (record.m_kind == RecordKind::kEpoch) {
    return;
  }
  const auto [found, is_new] = m_states.try_emplace(record.m_id);
  ActionState& state = found->second;
  const bool is_end = record.m_kind != RecordKind::kStarted;
  if (!is_new && is_end && state.m_attempt != record.m_attempt) {
    return;  // The end of an earlier attempt doesn't end this one.
  }
  state.m_kind = record.m_kind;
  state.m_digest = record.m_digest;
  state.m_attempt = record.m_attempt;
  state.m_answer = record.m_answer;
  state.m_at = record.m_at;
  state.m_durable = true;
  state.m_running_until = running_until;
}

void ActionTable::MarkStarting(const ActionRecord& record) {
  ActionState& state = m_states[record.m_id];
  state.m_kind = RecordKind::kStarted;
  state.m_digest = record.m_digest;
  state.m_attempt = record.m_attempt;
  state.m_at = record.m_at;
  state.m_durable = false;
}

void ActionTable::RevertStarting(const ActionRecord& record) {
  const auto found = m_states.find(record.m_id);
  if (found != m_states.end() && !found->second.m_durable) {
    // Before the start there was no record or a closed attempt. Both allow a
    // new attempt to run, so the state needn't be restored.
    m_states.erase(found);
  }
}

const ActionState* ActionTable::Find(const ActionId& id) const {
  const auto found = m_states.find(id);
  return found == m_states.end() ? nullptr : &found->second;
}

void ActionTable::RemoveOlderThan(WallTime horizon) {
  std::erase_if(m_states, [horizon](const auto& item) {
    return item.second.m_durable && item.second.m_at < horizon;
  });
}

}  // namespace hickoryloft::actions
