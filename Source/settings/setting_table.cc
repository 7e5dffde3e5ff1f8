#include "settings/setting_table.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "base/error.h"

namespace hickoryloft::settings {

namespace {

std::string FormatNumber(double value) {
  if (std::trunc(value) == value) {
    return nlohmann::json(static_cast<std::int64_t>(value)).dump();
  }
  return nlohmann::json(value).dump();
}

// A JSON string, number, boolean or list of strings is also valid TOML.
std::string FormatValue(const SettingValue& value) {
  return std::visit(
      [](const auto& held) { return nlohmann::json(held).dump(); }, value);
}

std::string FormatRange(const SettingSpec& spec) {
  if (!spec.m_allowed.empty()) {
    std::string text;
    for (const std::string& allowed : spec.m_allowed) {
      text += (text.empty() ? "" : ", ") + allowed;
    }
    return text;
  }
  const bool numeric = spec.m_type == SettingType::kInteger ||
                       spec.m_type == SettingType::kNumber ||
                       spec.m_type == SettingType::kMilliseconds;
  if (!numeric) {
    return "any";
  }
  return FormatNumber(spec.m_minimum) + " to " + FormatNumber(spec.m_maximum);
}

}  // namespace

template <typename T>
const T& Settings::Get(std::string_view key) const {
  const auto found = m_values.find(std::string(key));
  if (found == m_values.end() || !std::holds_alternative<T>(found->second)) {
    throw Error(ErrorCode::kInvalidSettings,
                "no setting of this type is named '" + std::string(key) + "'");
  }
  return std::get<T>(found->second);
}

const std::string& Settings::String(std::string_view key) const {
  return Get<std::string>(key);
}
std::int64_t Settings::Integer(std::string_view key) const {
  return Get<std::int64_t>(key);
}
double Settings::Number(std::string_view key) const {
  return Get<double>(key);
}
bool Settings::Boolean(std::string_view key) const {
  return Get<bool>(key);
}
milliseconds Settings::Millis(std::string_view key) const {
  return milliseconds(Get<std::int64_t>(key));
}
const std::vector<std::string>& Settings::StringList(
    std::string_view key) const {
  return Get<std::vector<std::string>>(key);
}

std::string PrintSettings(const SettingTable& table, const Settings& settings) {
  std::string text;
  for (const SettingSpec& spec : table) {
    const auto found = settings.values().find(spec.m_key);
    if (found != settings.values().end()) {
      text += spec.m_key + " = " + FormatValue(found->second) + "\n";
    }
  }
  return text;
}

std::string SettingsReference(const SettingTable& table) {
  std::string text =
      "| setting | type | default | range | meaning |\n| --- | --- | --- | --- "
      "| --- |\n";
  for (const SettingSpec& spec : table) {
    const std::string fallback =
        spec.m_default ? "`" + FormatValue(*spec.m_default) + "`" : "required";
    text += "| `" + spec.m_key + "` | " + std::string(ToString(spec.m_type)) +
            " | " + fallback + " | " + FormatRange(spec) + " | " + spec.m_help +
            " |\n";
  }
  return text;
}

std::string_view ToString(SettingType type) {
  switch (type) {
    case SettingType::kString:
      return "string";
    case SettingType::kInteger:
      return "integer";
    case SettingType::kNumber:
      return "number";
    case SettingType::kBoolean:
      return "boolean";
    case SettingType::kMilliseconds:
      return "milliseconds";
    case SettingType::kStringList:
      return "list of strings";
  }
  return "unknown";
}

}  // namespace hickoryloft::settings
