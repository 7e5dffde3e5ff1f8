// The value of a member key, and its form in the inner protocol.

#ifndef SOURCE_COORDINATOR_MEMBER_RECORD_H_
#define SOURCE_COORDINATOR_MEMBER_RECORD_H_

#include <string>

#include "coordinator/module.h"

namespace hickoryloft::coordinator {

// A live run of a host.
struct MemberRecord {
  Member m_member;
  keyvalue::LeaseId m_lease = 0;  // The short lease that the key is bound to.
  keyvalue::LeaseId m_long_lease = 0;  // That of its standing key.
  Revision m_create_revision = 0;      // Of the key.

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// Returns `record` as JSON, without m_create_revision. Thread-safe.
std::string FormatMemberRecord(const MemberRecord& record);

// Returns the record in `item`, a member key. Thread-safe. Throws
// Error(kProtocol).
MemberRecord ParseMemberRecord(const keyvalue::KeyValue& item);

wire::MemberStateT ToMemberState(const MemberRecord& record);
MemberRecord ToMemberRecord(const wire::MemberStateT& state);

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_MEMBER_RECORD_H_
