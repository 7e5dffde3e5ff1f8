// The state of each action of one shard, computed from its records.

#ifndef SOURCE_ACTIONS_ACTION_TABLE_H_
#define SOURCE_ACTIONS_ACTION_TABLE_H_

#include <map>
#include <string>

#include "actions/action_record.h"

namespace hickoryloft::actions {

struct ActionState {
  RecordKind m_kind = RecordKind::kStarted;
  std::string m_digest;
  std::uint64_t m_attempt = 0;
  ActionAnswer m_answer;
  WallTime m_at{};                  // Of the last record.
  bool m_durable = false;           // False: the start is being written.
  MonotonicTime m_running_until{};  // Without an end by then: unknown.
};

// Not thread-safe.
class ActionTable {
 public:
  // Applies a durable record. A started attempt counts as running until
  // `running_until`.
  void Apply(const ActionRecord& record, MonotonicTime running_until);

  // Marks an action as started while its record is being written.
  void MarkStarting(const ActionRecord& record);
  // Reverts MarkStarting() when the record is not written.
  void RevertStarting(const ActionRecord& record);

  // Returns the state of `id`, or nullptr. Valid until the next change.
  const ActionState* Find(const ActionId& id) const;

  // Removes actions whose last record is older than `horizon`.
  void RemoveOlderThan(WallTime horizon);

  std::size_t size() const { return m_states.size(); }

 private:
  std::map<ActionId, ActionState> m_states;
};

}  // namespace hickoryloft::actions

#endif  // SOURCE_ACTIONS_ACTION_TABLE_H_
