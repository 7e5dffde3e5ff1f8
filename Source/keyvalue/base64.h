// Base64 encoding for the JSON interface of the key-value service.

#ifndef SOURCE_KEYVALUE_BASE64_H_
#define SOURCE_KEYVALUE_BASE64_H_

#include <string>
#include <string_view>

namespace hickoryloft::keyvalue {

// Returns `bytes` in padded base64. Thread-safe.
std::string EncodeBase64(std::string_view bytes);

// Returns the decoded bytes of `text`. Thread-safe. Throws Error(kProtocol) if
// it is not padded base64.
std::string DecodeBase64(std::string_view text);

}  // namespace hickoryloft::keyvalue

#endif  // SOURCE_KEYVALUE_BASE64_H_
