// Detects that the action ledger let this entry run one action twice.

#ifndef SOURCE_ENTRY_EXECUTED_ACTIONS_H_
#define SOURCE_ENTRY_EXECUTED_ACTIONS_H_

#include <cstdint>
#include <unordered_set>

#include "base/hashing.h"
#include "entry/action_gate.h"

namespace hickoryloft::entry {

// The actions that this entry has sent. To bound its size, it is cleared when
// it holds kMaxActions actions. Not thread-safe.
class ExecutedActions {
 public:
  static constexpr std::size_t kMaxActions = 100'000;

  // Records that `action` is sent. Returns false if it was sent before.
  bool Insert(const ActionRequest& action) {
    if (m_sent_hashes.size() >= kMaxActions) {
      m_sent_hashes.clear();
    }
    return m_sent_hashes.insert(HashOf(action)).second;
  }
  // Removes `action`, of which no byte was sent.
  void Erase(const ActionRequest& action) {
    m_sent_hashes.erase(HashOf(action));
  }

 private:
  static std::uint64_t HashOf(const ActionRequest& action) {
    return StableHash(action.m_key, StableHash(action.m_account.value()));
  }

  std::unordered_set<std::uint64_t> m_sent_hashes;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_EXECUTED_ACTIONS_H_
