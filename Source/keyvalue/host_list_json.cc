#include "keyvalue/host_list_json.h"

#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "base/error.h"

namespace hickoryloft::keyvalue {

namespace {

using Json = nlohmann::json;
using Labels = std::map<std::string, std::string>;

struct HostPort {
  std::string m_address;
  std::uint16_t m_port = 0;
};

std::string LabelOr(const Labels& labels, const std::string& name) {
  const auto found = labels.find(name);
  return found == labels.end() ? "" : found->second;
}

std::optional<ListedRole> ParseRole(const std::string& text) {
  static const std::map<std::string, ListedRole> kRoles = {
      {"host", ListedRole::kHost},
      {"engine", ListedRole::kEngine},
      {"service", ListedRole::kService}};
  const auto found = kRoles.find(text);
  return found == kRoles.end() ? std::nullopt : std::optional(found->second);
}

std::optional<HostPort> ParseHostPort(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  HostPort parsed{.m_address = text.substr(0, colon)};
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto result = std::from_chars(first, last, parsed.m_port);
  if (result.ec != std::errc() || result.ptr != last || parsed.m_port == 0) {
    return std::nullopt;
  }
  return parsed;
}

// Throws Error(`code`) that names the target.
ListedTarget MakeTarget(const std::string& address,
                        const Labels& labels,
                        ErrorCode code) {
  const auto host_port = ParseHostPort(address);
  if (!host_port) {
    throw Error(code, "target '" + address + "' is not of the form ip:port");
  }
  const auto role = ParseRole(LabelOr(labels, "role"));
  if (!role) {
    throw Error(code, "target '" + address +
                          "' needs the role host, engine or service");
  }
  const std::string name = LabelOr(labels, "name");
  return {
      .m_name = name.empty() ? address : name,
      .m_address = host_port->m_address,
      .m_port = host_port->m_port,
      .m_role = *role,
      .m_failure_domain = FailureDomainId(LabelOr(labels, "failure_domain")),
      .m_service = ServiceId(LabelOr(labels, "service")),
      .m_leaving = LabelOr(labels, "leaving") == "true"};
}

}  // namespace

std::vector<ListedTarget> ParseHostList(const std::string& text) {
  std::vector<ListedTarget> targets;
  try {
    for (const Json& group : Json::parse(text)) {
      const auto labels = group.value("labels", Labels{});
      for (const auto& address :
           group.at("targets").get<std::vector<std::string>>()) {
        targets.push_back(MakeTarget(address, labels, ErrorCode::kProtocol));
      }
    }
  } catch (const Json::exception&) {
    // The library's message is left out, since it may quote the answer.
    throw Error(ErrorCode::kProtocol,
                "the host list is not in the service-discovery format");
  }
  return targets;
}

ListedTarget ParseTargetSetting(const std::string& text) {
  Labels fields;
  std::istringstream words(text);
  for (std::string word; words >> word;) {
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos) {
      throw Error(ErrorCode::kInvalidSettings,
                  "'" + word + "' in a target is not of the form name=value");
    }
    fields[word.substr(0, equals)] = word.substr(equals + 1);
  }
  return MakeTarget(LabelOr(fields, "address"), fields,
                    ErrorCode::kInvalidSettings);
}

}  // namespace hickoryloft::keyvalue
