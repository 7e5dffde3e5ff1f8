// The table that declares a program's settings. It is used to validate a
// settings file, to print the effective settings and to generate the operators'
// reference page.

#ifndef SOURCE_SETTINGS_SETTING_TABLE_H_
#define SOURCE_SETTINGS_SETTING_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"

namespace hickoryloft::settings {

enum class SettingType {
  kString,
  kInteger,
  kNumber,
  kBoolean,
  kMilliseconds,
  kStringList
};

using SettingValue = std::
    variant<std::string, std::int64_t, double, bool, std::vector<std::string>>;

// One setting. Durations are written in milliseconds and their names end in
// "_ms".
struct SettingSpec {
  std::string m_key;  // Dotted: "listen.port".
  SettingType m_type = SettingType::kString;
  std::string m_help;                     // One sentence, with the unit.
  std::optional<SettingValue> m_default;  // If absent, the setting is required.
  double m_minimum = 0;                   // For numeric types.
  double m_maximum = 0;                   // For numeric types; inclusive.
  std::vector<std::string>
      m_allowed;  // For strings: the allowed values; empty means any.
};

using SettingTable = std::vector<SettingSpec>;

// The validated settings of one program. Immutable, so thread-safe.
class Settings {
 public:
  Settings() = default;
  explicit Settings(std::map<std::string, SettingValue> values)
      : m_values(std::move(values)) {}

  // Each returns the value of `key`. Throws Error(kInvalidSettings) if the
  // table has no such key of that type.
  const std::string& String(std::string_view key) const;
  std::int64_t Integer(std::string_view key) const;
  double Number(std::string_view key) const;
  bool Boolean(std::string_view key) const;
  milliseconds Millis(std::string_view key) const;
  const std::vector<std::string>& StringList(std::string_view key) const;

  const std::map<std::string, SettingValue>& values() const { return m_values; }

 private:
  template <typename T>
  const T& Get(std::string_view key) const;

  std::map<std::string, SettingValue> m_values;
};

// Returns `settings` as TOML, one line per key, for --print-settings.
// Thread-safe.
std::string PrintSettings(const SettingTable& table, const Settings& settings);

// Returns the reference page of `table` as a Markdown table. Thread-safe.
std::string SettingsReference(const SettingTable& table);

// Returns the name of `type` for the reference page. Thread-safe.
std::string_view ToString(SettingType type);

}  // namespace hickoryloft::settings

#endif  // SOURCE_SETTINGS_SETTING_TABLE_H_
