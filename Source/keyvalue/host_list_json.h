// The Prometheus HTTP service-discovery format of the host list.

#ifndef SOURCE_KEYVALUE_HOST_LIST_JSON_H_
#define SOURCE_KEYVALUE_HOST_LIST_JSON_H_

#include <string>
#include <vector>

#include "keyvalue/host_list.h"

namespace hickoryloft::keyvalue {

// Returns the targets in `text`, [{"targets": ["ip:port"], "labels": {...}}].
// Thread-safe. Throws Error(kProtocol) if the text is not of that format, a
// target has no valid address or a label "role" has another value than "host",
// "engine" and "service".
std::vector<ListedTarget> ParseHostList(const std::string& text);

// Returns the target in "name=<name> role=<role> ...", the form used in
// settings files. The fields are those of the labels, and "address=ip:port".
// Thread-safe. Throws Error(kInvalidSettings).
ListedTarget ParseTargetSetting(const std::string& text);

}  // namespace hickoryloft::keyvalue

#endif  // SOURCE_KEYVALUE_HOST_LIST_JSON_H_
