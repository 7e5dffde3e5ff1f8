// The local copy of one record that is written by compare-and-swap.

#ifndef SOURCE_PLACEMENT_CAS_REGISTER_H_
#define SOURCE_PLACEMENT_CAS_REGISTER_H_

#include <optional>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "placement/effects.h"

namespace hickoryloft::placement {

// The key-value service's reply for a record: the outcome of a write, or the
// current value.
struct RecordReply {
  RecordName m_record;
  bool m_swapped = false;
  Revision m_revision = 0;  // Revision of the record; 0: absent.
  std::string m_value;      // The current value, unless m_swapped.
};

// The last received value of a record, and the write in flight. A record is
// assumed absent until a read or a failed compare-and-swap returns its value.
// After a write whose reply is lost, the record is read again: the caller
// compares the value with the intended one and writes the difference. Not
// thread-safe.
template <typename Value>
class CasRegister {
 public:
  const Value& value() const { return m_value; }
  bool busy() const { return m_busy; }
  // Returns whether the record must be read before it can be written.
  bool needs_read() const { return !m_in_sync && !m_busy; }
  MonotonicTime retry_at() const { return m_retry_at; }

  // Starts a write. Precondition: !busy() && !needs_read().
  SwapRecord Write(const RecordName& record, Value value) {
    m_busy = true;
    std::string text = value.ToJson();
    m_written = std::move(value);
    return {.m_record = record,
            .m_expected = m_revision,
            .m_value = std::move(text)};
  }

  // Starts a read.
  ReadRecord Read(const RecordName& record) {
    m_busy = true;
    m_written.reset();
    return {.m_record = record};
  }

  // Applies the reply to Write() or Read(), or a value read by other means.
  // Throws Error(kProtocol) if the value cannot be parsed.
  void ApplyReply(const RecordReply& reply) {
    m_busy = false;
    m_in_sync = false;
    if (reply.m_swapped && m_written.has_value()) {
      m_value = std::move(*m_written);
    } else {
      m_value = Value::FromJson(reply.m_value);
    }
    m_written.reset();
    m_revision = reply.m_revision;
    m_in_sync = true;
  }

  // Records that the write or read failed, so that its effect is unknown and
  // the record must be read again, at `retry_at` at the earliest.
  void MarkFailed(MonotonicTime retry_at) {
    m_busy = false;
    m_in_sync = false;
    m_written.reset();
    m_retry_at = retry_at;
  }

 private:
  Value m_value;
  Revision m_revision = 0;
  bool m_in_sync = true;
  bool m_busy = false;
  std::optional<Value> m_written;
  MonotonicTime m_retry_at{};
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_CAS_REGISTER_H_
