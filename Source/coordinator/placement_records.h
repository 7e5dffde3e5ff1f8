// The keys of placement records in the key-value service, and conversions to
// records and messages.

#ifndef SOURCE_COORDINATOR_PLACEMENT_RECORDS_H_
#define SOURCE_COORDINATOR_PLACEMENT_RECORDS_H_

#include <array>
#include <string>

#include "keyvalue/key_value_service.h"
#include "messages_generated.h"
#include "placement/cas_register.h"
#include "placement/effects.h"

namespace hickoryloft::coordinator {

constexpr std::array<placement::RecordKind, 3> kRecordKinds = {
    placement::RecordKind::kModel, placement::RecordKind::kLedger,
    placement::RecordKind::kStore};

// Returns the prefix of all keys of `kind`. Thread-safe.
std::string RecordPrefix(placement::RecordKind kind);
// Returns the key of a record. Thread-safe.
std::string RecordKey(const placement::RecordName& record);
// Returns the record that `item` holds. Thread-safe. Precondition: the key
// starts with the prefix of `kind`.
placement::RecordReply ToRecordReply(placement::RecordKind kind,
                                     const keyvalue::KeyValue& item);
// Return the outcome of a write or a read of `record`. Thread-safe.
placement::RecordReply ToRecordReply(const placement::RecordName& record,
                                     const keyvalue::SwapReply& reply);
placement::RecordReply ToRecordReply(const placement::RecordName& record,
                                     const keyvalue::ReadReply& reply);

// Converts an answer to a message. Thread-safe.
wire::DemandReplyT ToDemandReply(const placement::DemandAnswer& answer);

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_PLACEMENT_RECORDS_H_
