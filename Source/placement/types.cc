#include "placement/types.h"

#include <array>

namespace hickoryloft::placement {

std::string ToString(RefusalReason reason) {
  static constexpr std::array<const char*, 6> kNames = {
      "none",     "unknown_model",     "no_capacity",
      "too_slow", "store_unavailable", "not_ready"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace hickoryloft::placement
