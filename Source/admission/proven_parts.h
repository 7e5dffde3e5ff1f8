// The prompt parts that were lately proved not to crash endpoints.

#ifndef SOURCE_ADMISSION_PROVEN_PARTS_H_
#define SOURCE_ADMISSION_PROVEN_PARTS_H_

#include <string>
#include <unordered_map>

#include "base/time.h"

namespace hickoryloft::admission {

// Bounded, because callers choose the ids of parts. Not thread-safe; the times
// passed in must not decrease.
class ProvenParts {
 public:
  static constexpr Duration kLifetime = seconds(2);
  static constexpr std::size_t kMaxParts = 4096;

  void Record(const std::string& part, MonotonicTime now) {
    if (m_proved_at.size() >= kMaxParts && !m_proved_at.contains(part)) {
      std::erase_if(m_proved_at, [&](const auto& entry) {
        return now - entry.second >= kLifetime;
      });
      if (m_proved_at.size() >= kMaxParts) {
        return;
      }
    }
    m_proved_at[part] = now;
  }

  // Returns whether `part` was recorded within the last kLifetime.
  bool Proven(const std::string& part, MonotonicTime now) const {
    const auto found = m_proved_at.find(part);
    return found != m_proved_at.end() && now - found->second < kLifetime;
  }

 private:
  std::unordered_map<std::string, MonotonicTime> m_proved_at;
};

}  // namespace hickoryloft::admission

#endif  // SOURCE_ADMISSION_PROVEN_PARTS_H_
