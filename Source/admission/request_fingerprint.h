// Names a request by what all attempts of its caller share.

#ifndef SOURCE_ADMISSION_REQUEST_FINGERPRINT_H_
#define SOURCE_ADMISSION_REQUEST_FINGERPRINT_H_

#include <string>
#include <string_view>

namespace hickoryloft::admission {

// All functions are thread-safe.

// Returns the same text for all requests of `caller` with this target and body,
// and another text for others: "request-" and a digest.
std::string FingerprintOf(std::string_view caller,
                          std::string_view target,
                          std::string_view body);
// Returns whether `id` is a fingerprint. No id of a prompt part is one.
bool IsFingerprint(std::string_view id);

}  // namespace hickoryloft::admission

#endif  // SOURCE_ADMISSION_REQUEST_FINGERPRINT_H_
