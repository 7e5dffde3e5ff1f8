// Finds the known name that is most similar to a mistyped one.

#ifndef SOURCE_SETTINGS_NEAREST_NAME_H_
#define SOURCE_SETTINGS_NEAREST_NAME_H_

#include <string>
#include <string_view>
#include <vector>

namespace hickoryloft::settings {

// Returns the name in `known` with the smallest edit distance to `name`, or ""
// if all distances exceed a third of the length of `name` (at least 2).
// Thread-safe.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& known);

}  // namespace hickoryloft::settings

#endif  // SOURCE_SETTINGS_NEAREST_NAME_H_
