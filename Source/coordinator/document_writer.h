// Stores an operator's change of a document and waits until it is accepted.

#ifndef SOURCE_COORDINATOR_DOCUMENT_WRITER_H_
#define SOURCE_COORDINATOR_DOCUMENT_WRITER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "coordinator/document_keeper.h"
#include "documents/acceptance_vote.h"

namespace hickoryloft::coordinator {

// A change of one document.
struct DocumentWrite {
  ServiceId m_service;
  Revision m_expected_revision = 0;   // 0: the document must not exist.
  std::optional<std::string> m_text;  // Absent: remove the document.
};

enum class WriteState {
  kAccepted,  // A majority of the members has applied it.
  kPending,   // Stored, but not yet confirmed by a majority of the members.
  kConflict,  // The document has another revision; nothing was changed.
  kInvalid,   // The text is not valid; nothing was changed.
  kNotRun,    // The key-value service cannot be reached; nothing was changed.
  kUnknown,   // It is not known whether the document was stored.
};

struct WriteReport {
  WriteState m_state = WriteState::kNotRun;
  Revision m_revision = 0;  // The new revision; on a conflict, the current one.
  std::string m_detail;
  std::size_t m_acknowledged = 0;
  std::size_t m_members = 0;
};

// Starts the change and calls `done` once, at most a few seconds after the
// key-value service has answered. Everything passed by reference must outlive
// the whole operation. Use on the loop's thread only.
void WriteDocument(EventLoop& loop,
                   keyvalue::KeyValueService& key_values,
                   PeerMesh& peers,
                   const MemberView& view,
                   DocumentKeeper& keeper,
                   const HostId& self,
                   DocumentWrite write,
                   std::function<void(const WriteReport&)> done);

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_DOCUMENT_WRITER_H_
