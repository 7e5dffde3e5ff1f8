#include "placement/store_concurrency.h"

#include <algorithm>
#include <cmath>

namespace hickoryloft::placement {

void StoreConcurrency::RecordLoad(Duration took,
                                  Duration nominal,
                                  int at_once) {
  const double slowdown = ToSeconds(took) / ToSeconds(nominal);
  if (slowdown <= kFullSpeedRatio) {
    if (at_once >= m_limit) {
      m_limit = std::min(kMaxLimit, at_once + 1);
    }
  } else if (slowdown >= kSharedRatio) {
    const int served = static_cast<int>(std::lround(at_once / slowdown));
    m_limit = std::clamp(served, 1, m_limit);
  }
}

}  // namespace hickoryloft::placement
