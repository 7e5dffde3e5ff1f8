#include "StandIns/request_log.h"

#include <algorithm>

namespace hickoryloft::standins {

void RequestLog::Add(const Call& call) {
  nlohmann::json names = nlohmann::json::array();
  for (const auto& [name, value] : call.headers()) {
    names.push_back(name);
  }
  const bool authorization = call.headers().contains("authorization");
  const bool secret = ContainsSecret(call);
  ++m_count;
  m_with_authorization += authorization ? 1 : 0;
  m_with_secret += secret ? 1 : 0;
  m_entries.push_back({{"method", call.method()},
                       {"path", call.path()},
                       {"id", call.Header("x-request-id")},
                       {"header_names", names},
                       {"authorization", authorization},
                       {"secret", secret}});
  if (m_entries.size() > kMaxEntries) {
    m_entries.pop_front();
  }
}

void RequestLog::ApplyFaults(const nlohmann::json& faults) {
  if (faults.contains("watched_secrets")) {
    m_secrets = faults["watched_secrets"].get<std::vector<std::string>>();
  }
}

nlohmann::json RequestLog::ToJson() const {
  return {{"count", m_count},
          {"with_authorization", m_with_authorization},
          {"with_secret", m_with_secret},
          {"entries", m_entries}};
}

bool RequestLog::ContainsSecret(const Call& call) const {
  return std::any_of(
      m_secrets.begin(), m_secrets.end(), [&](const std::string& secret) {
        const auto has_secret = [&](const std::string& text) {
          return text.find(secret) != std::string::npos;
        };
        return has_secret(call.uri()) || has_secret(call.body()) ||
               std::any_of(call.headers().begin(), call.headers().end(),
                           [&](const auto& header) {
                             return has_secret(header.second);
                           });
      });
}

}  // namespace hickoryloft::standins
