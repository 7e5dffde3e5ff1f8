// The name under which an engine serves a model or an adapter.

#ifndef SOURCE_ENDPOINT_SERVED_NAME_H_
#define SOURCE_ENDPOINT_SERVED_NAME_H_

#include <string>
#include <string_view>

#include "endpoint/orders.h"

namespace hickoryloft::endpoint {

// Returns "<service>/<model>[:<adapter>]@<version>" for `artifact`, whose model
// is a qualified name. Thread-safe.
std::string ServedName(const Artifact& artifact);

// Parses a name in the format of ServedName(). Thread-safe. Throws
// Error(kInvalidArgument) if `name` has another format.
Artifact ParseServedName(std::string_view name);

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_SERVED_NAME_H_
