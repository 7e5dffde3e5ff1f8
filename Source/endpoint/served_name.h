// The name under which engines serve a model or an adapter.

#ifndef SOURCE_ENDPOINT_SERVED_NAME_H_
#define SOURCE_ENDPOINT_SERVED_NAME_H_

#include <string>
#include <string_view>

#include "endpoint/orders.h"

namespace hickoryloft::endpoint {

// Returns "<service>/<model>[:<adapter>]@<version>" for `artifact`, whose model
// is a qualified name. Thread-safe.
std::string ServedName(const Artifact& artifact);

// Returns the artifact that `name` stands for. Thread-safe. Throws
// Error(kInvalidArgument) for text of another form.
Artifact ParseServedName(std::string_view name);

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_SERVED_NAME_H_
