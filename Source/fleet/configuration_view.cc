#include "fleet/configuration_view.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace hickoryloft::fleet {

namespace {

std::string LowerCaseHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace

ConfigurationView::ConfigurationView(Configuration configuration)
    : m_configuration(std::move(configuration)) {
  for (const Route& route : m_configuration.m_routes) {
    m_routes[LowerCaseHost(route.m_host)][route.m_path_prefix] = &route;
  }
  for (const Account& account : m_configuration.m_accounts) {
    m_by_id[account.m_id] = &account;
    for (const std::string& key : account.m_keys) {
      m_by_key[key] = &account;
    }
  }
}

const Route* ConfigurationView::FindRoute(std::string_view host,
                                          std::string_view path) const {
  const auto routes = m_routes.find(LowerCaseHost(host));
  if (routes == m_routes.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only prefixes of `path` that do can match.
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto route =
        routes->second.find(std::string(path.substr(0, end + 1)));
    if (route != routes->second.end()) {
      return route->second;
    }
    end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
  }
  return nullptr;
}

const Account* ConfigurationView::FindAccountByKey(
    const std::string& key) const {
  const auto account = m_by_key.find(key);
  return account == m_by_key.end() ? nullptr : account->second;
}

const Account* ConfigurationView::FindAccount(const ClientAccountId& id) const {
  const auto account = m_by_id.find(id);
  return account == m_by_id.end() ? nullptr : account->second;
}

const ServiceSpec* ConfigurationView::FindService(const ServiceId& id) const {
  const auto service = m_configuration.m_services.find(id);
  return service == m_configuration.m_services.end() ? nullptr
                                                     : &service->second;
}

const ServiceId& PickTarget(const Route& route, double point) {
  double total = 0;
  for (const RouteTarget& target : route.m_targets) {
    total += target.m_weight;
  }
  double left = point * total;
  for (const RouteTarget& target : route.m_targets) {
    left -= target.m_weight;
    if (left < 0 && target.m_weight > 0) {
      return target.m_service;
    }
  }
  return route.m_targets.back().m_service;
}

}  // namespace hickoryloft::fleet
