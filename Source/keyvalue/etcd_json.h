// JSON of the etcd v3 gateway, in which 64-bit integers are strings, and keys
// and values are base64.

#ifndef SOURCE_KEYVALUE_ETCD_JSON_H_
#define SOURCE_KEYVALUE_ETCD_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "keyvalue/key_value_service.h"

namespace hickoryloft::keyvalue {

// Returns the JSON object in `text`. Thread-safe. Throws Error(kProtocol).
nlohmann::json ParseEtcdObject(const std::string& text);

// Returns the integer `name` of `object`, given as string or number; 0 if
// absent, since the gateway omits zeros. Thread-safe. Throws
// Error(kProtocol).
std::int64_t EtcdInteger(const nlohmann::json& object, const char* name);

// Returns the decoded base64 field `name`, or "" if absent. Thread-safe. Throws
// Error(kProtocol).
std::string EtcdBytes(const nlohmann::json& object, const char* name);

// Returns the object or array `name`, or null if absent. Thread-safe. Throws
// Error(kProtocol).
nlohmann::json EtcdMember(const nlohmann::json& object, const char* name);

// Returns the end of the key range of a request; empty if it has no upper
// bound, which the gateway writes as one zero byte. Thread-safe. Throws
// Error(kProtocol).
std::string EtcdRangeEnd(const nlohmann::json& request);

// Returns the revision in the header of `answer`. Thread-safe. Throws
// Error(kProtocol) if there is none.
Revision EtcdRevision(const nlohmann::json& answer);

// Returns one key-value pair. Thread-safe. Throws Error(kProtocol).
KeyValue ParseEtcdKeyValue(const nlohmann::json& object);
nlohmann::json ToEtcdJson(const KeyValue& item);

// Returns one event of a watch. Thread-safe. Throws Error(kProtocol).
WatchEvent ParseEtcdEvent(const nlohmann::json& object);
nlohmann::json ToEtcdJson(const WatchEvent& event);

}  // namespace hickoryloft::keyvalue

#endif  // SOURCE_KEYVALUE_ETCD_JSON_H_
