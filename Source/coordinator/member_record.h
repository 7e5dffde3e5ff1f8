// The value of a member key, and its representation in the inner protocol.

#ifndef SOURCE_COORDINATOR_MEMBER_RECORD_H_
#define SOURCE_COORDINATOR_MEMBER_RECORD_H_

#include <string>

#include "coordinator/module.h"

namespace hickoryloft::coordinator {

// One run of a host, as stored in its member key.
struct MemberRecord {
  Member m_member;
  keyvalue::LeaseId m_lease = 0;       // Short lease of the member key.
  keyvalue::LeaseId m_long_lease = 0;  // Lease of the host's long-lease key.
  Revision m_create_revision = 0;      // Of the member key.

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// Returns `record` as JSON, without m_create_revision. Thread-safe.
std::string FormatMemberRecord(const MemberRecord& record);

// Parses the value of `item`, a member key. Thread-safe. Throws
// Error(kProtocol) if it is invalid.
MemberRecord ParseMemberRecord(const keyvalue::KeyValue& item);

wire::MemberStateT ToMemberState(const MemberRecord& record);
MemberRecord ToMemberRecord(const wire::MemberStateT& state);

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_MEMBER_RECORD_H_
