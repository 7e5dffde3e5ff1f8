// Records the requests that an endpoint got, and whether a caller's key was in
// one of them.

#ifndef STANDINS_REQUEST_LOG_H_
#define STANDINS_REQUEST_LOG_H_

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "StandIns/call.h"

namespace hickoryloft::standins {

// Not thread-safe.
class RequestLog {
 public:
  void Add(const Call& call);
  // Reads "watched_secrets": texts that no request may contain.
  void ApplyFaults(const nlohmann::json& faults);
  nlohmann::json ToJson() const;

 private:
  static constexpr std::size_t kMaxEntries = 10'000;  // Kept; all are counted.

  bool HasSecret(const Call& call) const;

  std::vector<std::string> m_secrets;
  std::deque<nlohmann::json> m_entries;
  std::uint64_t m_count = 0;
  std::uint64_t m_with_authorization = 0;
  std::uint64_t m_with_secret = 0;
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_REQUEST_LOG_H_
