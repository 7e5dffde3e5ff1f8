// The most recent changes of the key-value service, kept by a host that watches
// the service on behalf of other hosts.

#ifndef SOURCE_FLEET_CHANGE_LOG_H_
#define SOURCE_FLEET_CHANGE_LOG_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "keyvalue/key_value_service.h"

namespace hickoryloft::fleet {

// All changes after revision m_from, up to and including m_to. Value type.
struct ChangeSpan {
  Revision m_from = 0;
  Revision m_to = 0;
  std::vector<keyvalue::WatchEvent> m_events;  // In order of revision.
  // The change after m_to is too large to forward; the receiver must read it
  // from the service.
  bool m_read_from_service = false;
};

// Not thread-safe.
class ChangeLog {
 public:
  // Hosts read larger values from the service, whose network link has more
  // capacity than that of a host.
  static constexpr std::size_t kMaxValueBytes = std::size_t{32} * 1024;
  // Bytes of keys and values kept. A host that lags further behind reads from
  // the service.
  static constexpr std::size_t kMaxBytes = std::size_t{256} * 1024;

  // Appends a batch of this host's watch that starts after revision `from`. If
  // the previous batch did not end at `from`, the log is cleared first.
  void Append(Revision from, const keyvalue::WatchBatch& batch);

  // The last revision that the log covers.
  Revision position() const { return m_position; }
  // Returns the changes after revision `known`; nothing if there are none, or
  // if the log no longer reaches back to `known`.
  std::optional<ChangeSpan> Since(Revision known) const;

 private:
  static std::size_t SizeOf(const keyvalue::WatchEvent& event);

  Revision m_start = 0;  // All changes after this revision are kept.
  Revision m_position = 0;
  std::deque<keyvalue::WatchEvent> m_events;
  std::size_t m_bytes = 0;
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_CHANGE_LOG_H_
