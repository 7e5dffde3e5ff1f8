// Encodes and decodes the key-value records about prompt parts and requests
// that crash endpoints.

#ifndef SOURCE_HOST_CRASH_RECORDS_H_
#define SOURCE_HOST_CRASH_RECORDS_H_

#include <map>
#include <string>
#include <utility>

#include "admission/crashing_parts.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::host {

// The ends that a host recorded, in a fixed number of slots, so that the
// records stay few however many endpoints end.
constexpr std::size_t kEndSlots = 8;
constexpr std::size_t kMaxPartsPerEnd = 128;

// All functions are thread-safe.

// Returns whether `part` can be a part of a key: callers choose the ids of
// prompt parts.
bool IsValidPart(const std::string& part);

std::string EndKey(const HostId& host, std::size_t slot);
std::string SoundKey(const std::string& part);
std::string HeldKey(const std::string& part);

std::string EncodeEnd(const admission::EndpointEnd& end);
std::string EncodeFinding(const admission::CrashingParts::Finding& finding);

// Return the number of requests with a held part that were let through, and the
// record's value with another number.
std::size_t DecodeTrials(const keyvalue::KeyValue& held_record);
std::string EncodeWithTrials(const keyvalue::KeyValue& held_record,
                             std::size_t trials);

// Reads the records among the system's own keys. Logs and skips those that
// cannot be decoded.
admission::CrashRecords DecodeCrashRecords(
    const std::map<std::string, keyvalue::KeyValue>& own_keys);
// Returns the newest revision of such a record and their number, which differ
// whenever the records do.
std::pair<Revision, std::size_t> VersionOfCrashRecords(
    const std::map<std::string, keyvalue::KeyValue>& own_keys);

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_CRASH_RECORDS_H_
