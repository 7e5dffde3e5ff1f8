// Records the requests that a stand-in received and whether they contained one
// of the secrets to watch for.

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
  // Reads "watched_secrets": texts whose occurrence in a request is recorded.
  void ApplyFaults(const nlohmann::json& faults);
  nlohmann::json ToJson() const;

 private:
  // Older entries are removed but still counted.
  static constexpr std::size_t kMaxEntries = 10'000;

  bool ContainsSecret(const Call& call) const;

  std::vector<std::string> m_secrets;
  std::deque<nlohmann::json> m_entries;
  std::uint64_t m_count = 0;
  std::uint64_t m_with_authorization = 0;
  std::uint64_t m_with_secret = 0;
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_REQUEST_LOG_H_
