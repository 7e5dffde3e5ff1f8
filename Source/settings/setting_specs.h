// Functions that create the rows of a settings table.

#ifndef SOURCE_SETTINGS_SETTING_SPECS_H_
#define SOURCE_SETTINGS_SETTING_SPECS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "settings/setting_table.h"

namespace hickoryloft::settings {

// Inclusive bounds of a numeric setting.
struct SettingRange {
  double m_minimum = 0;
  double m_maximum = 0;
};

// Returns a string setting, required if `fallback` is absent. The value must be
// one of `allowed` unless that is empty.
inline SettingSpec TextSetting(const char* key,
                               const char* help,
                               std::optional<std::string> fallback = {},
                               std::vector<std::string> allowed = {}) {
  SettingSpec spec{.m_key = key, .m_help = help};
  if (fallback) {
    spec.m_default = std::move(*fallback);
  }
  spec.m_allowed = std::move(allowed);
  return spec;
}

inline SettingSpec IntegerSetting(const char* key,
                                  const char* help,
                                  std::int64_t fallback,
                                  SettingRange range) {
  return {.m_key = key,
          .m_type = SettingType::kInteger,
          .m_help = help,
          .m_default = fallback,
          .m_minimum = range.m_minimum,
          .m_maximum = range.m_maximum};
}

// Returns a setting for a TCP port; 0 lets the system choose one.
inline SettingSpec PortSetting(const char* key,
                               const char* help,
                               std::int64_t fallback) {
  constexpr double kMaxPort = 65535;
  return IntegerSetting(key, help, fallback, {0, kMaxPort});
}

inline SettingSpec MillisSetting(const char* key,
                                 const char* help,
                                 std::int64_t fallback,
                                 SettingRange range) {
  SettingSpec spec = IntegerSetting(key, help, fallback, range);
  spec.m_type = SettingType::kMilliseconds;
  return spec;
}

}  // namespace hickoryloft::settings

#endif  // SOURCE_SETTINGS_SETTING_SPECS_H_
