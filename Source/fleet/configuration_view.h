// A configuration with indices for looking up routes, accounts and services.

#ifndef SOURCE_FLEET_CONFIGURATION_VIEW_H_
#define SOURCE_FLEET_CONFIGURATION_VIEW_H_

#include <string>
#include <string_view>
#include <unordered_map>

#include "fleet/configuration.h"

namespace hickoryloft::fleet {

// Immutable after construction, so thread-safe.
class ConfigurationView {
 public:
  explicit ConfigurationView(Configuration configuration);

  std::int64_t version() const { return m_configuration.m_version; }
  const Configuration& configuration() const { return m_configuration; }

  // Returns the route of `host` with the longest prefix of `path`, or nullptr.
  // `host` may carry a port; `path` carries no query.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // Returns the account that API key `key` belongs to, or nullptr.
  const Account* FindAccountByKey(const std::string& key) const;
  const Account* FindAccount(const ClientAccountId& id) const;
  const ServiceSpec* FindService(const ServiceId& id) const;

 private:
  Configuration m_configuration;
  // Host, then path prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, const Route*>>
      m_routes;
  std::unordered_map<std::string, const Account*> m_by_key;
  std::unordered_map<ClientAccountId, const Account*> m_by_id;
};

// Returns the target of `route` for a request, chosen by weight; `point` (0 to
// 1) selects the position in the sum of weights. Precondition: the route has
// targets. Thread-safe.
const ServiceId& PickTarget(const Route& route, double point);

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_CONFIGURATION_VIEW_H_
