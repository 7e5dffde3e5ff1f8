// The last changes of the key-value service, kept by a host that watches it for
// hosts that do not.

#ifndef SOURCE_FLEET_CHANGE_LOG_H_
#define SOURCE_FLEET_CHANGE_LOG_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "keyvalue/key_value_service.h"

namespace hickoryloft::fleet {

// Every change after one revision up to another. Value type.
struct ChangeSpan {
  Revision m_from = 0;
  Revision m_to = 0;
  std::vector<keyvalue::WatchEvent> m_events;  // In order of revision.
  // The next change is too large to be handed on: the receiver asks the
  // service itself.
  bool m_ask_service = false;
};

// Not thread-safe.
class ChangeLog {
 public:
  // Values beyond this go to each host from the service, whose link carries
  // them better than that of a host.
  static constexpr std::size_t kMaxValueBytes = std::size_t{32} * 1024;
  // Bytes of keys and values that are kept: hosts that lag more ask the
  // service.
  static constexpr std::size_t kMaxBytes = std::size_t{256} * 1024;

  // Takes a batch of this host's watch that follows revision `from`. If the
  // batch before did not end there, the log begins anew.
  void Take(Revision from, const keyvalue::WatchBatch& batch);

  // The last revision that the log reaches.
  Revision position() const { return m_position; }
  // Returns what a host at revision `known` lacks; nothing if it lacks nothing,
  // or more than the log holds.
  std::optional<ChangeSpan> Since(Revision known) const;

 private:
  static std::size_t SizeOf(const keyvalue::WatchEvent& event);

  Revision m_start = 0;  // The log holds all changes after this revision.
  Revision m_position = 0;
  std::deque<keyvalue::WatchEvent> m_events;
  std::size_t m_bytes = 0;
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_CHANGE_LOG_H_
