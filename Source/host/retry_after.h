// Parts of the answers that the host makes itself.

#ifndef SOURCE_HOST_RETRY_AFTER_H_
#define SOURCE_HOST_RETRY_AFTER_H_

#include <string>

#include "base/time.h"
#include "http/header_fields.h"

namespace hickoryloft::host {

// Returns the Retry-After field for `delay`, in seconds with a fraction.
// Thread-safe.
http::HeaderField RetryAfterField(Duration delay);

// Returns a JSON problem document (RFC 9457). Thread-safe.
std::string ProblemBody(int status, const std::string& reason);

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_RETRY_AFTER_H_
