// Finds the caller's key in a request, and removes it.

#ifndef SOURCE_ENTRY_CREDENTIALS_H_
#define SOURCE_ENTRY_CREDENTIALS_H_

#include <optional>
#include <string>
#include <string_view>

#include "endpoint/http_client.h"

namespace hickoryloft::entry {

// Returns the key of "Authorization: Bearer <key>", or none. Thread-safe.
std::optional<std::string> FindKey(const endpoint::HeaderFields& headers);

// Returns the headers that may be passed to an endpoint: without Authorization,
// without those whose value contains `key` (if it is not empty), and without
// those that concern the caller's connection only. Thread-safe.
endpoint::HeaderFields ForwardableHeaders(const endpoint::HeaderFields& headers,
                                          const std::string& key);

// Returns `query` without the parameters that contain `key`, literally or
// percent-encoded. Thread-safe.
std::string RemoveKeyFromQuery(std::string_view query, const std::string& key);

// Returns whether `text`, a path or body, contains `key`, literally or
// percent-encoded. Keys shorter than kMinSearchedKeyBytes bytes are not
// searched for, since they may occur by chance. Thread-safe.
constexpr std::size_t kMinSearchedKeyBytes = 12;
bool ContainsKey(std::string_view text, const std::string& key);

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_CREDENTIALS_H_
