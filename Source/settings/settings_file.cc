#include "settings/settings_file.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <sstream>

#include "base/error.h"
#include "settings/nearest_name.h"
#include "settings/toml_text.h"

namespace hickoryloft::settings {

namespace {

// The location of a key, for error messages.
struct Location {
  std::string m_source;
  std::uint_least32_t m_line = 0;
  std::string m_key;
};

[[noreturn]] void Fail(const Location& at, const std::string& what) {
  throw Error(ErrorCode::kInvalidSettings,
              at.m_source + ":" + std::to_string(at.m_line) + ": setting '" +
                  at.m_key + "': " + what);
}

// Adds the values in `table` and in its subtables to `out`, keyed by dotted
// name.
void Flatten(const toml::table& table,
             const std::string& prefix,
             std::map<std::string, const toml::node*>& out) {
  for (const auto& [key, child] : table) {
    std::string name = prefix;
    if (!name.empty()) {
      name += '.';
    }
    name += key.str();
    if (const toml::table* inner = child.as_table()) {
      Flatten(*inner, name, out);
    } else {
      out.emplace(name, &child);
    }
  }
}

void CheckRange(const SettingSpec& spec, double number, const Location& at) {
  if (!std::isfinite(number) || number < spec.m_minimum ||
      number > spec.m_maximum) {
    std::ostringstream message;
    message << "the value " << number << " is outside " << spec.m_minimum
            << " to " << spec.m_maximum;
    Fail(at, message.str());
  }
}

SettingValue ConvertString(const SettingSpec& spec,
                           const toml::node& value,
                           const Location& at) {
  if (!value.is_string()) {
    Fail(at, "expected a string");
  }
  std::string text = value.as_string()->get();
  const auto& allowed = spec.m_allowed;
  if (!allowed.empty() &&
      std::find(allowed.begin(), allowed.end(), text) == allowed.end()) {
    std::string names;
    for (const std::string& name : allowed) {
      names += (names.empty() ? "" : ", ") + name;
    }
    Fail(at, "'" + text + "' is not one of " + names);
  }
  return text;
}

SettingValue ConvertList(const toml::node& value, const Location& at) {
  if (!value.is_array()) {
    Fail(at, "expected a list of strings");
  }
  std::vector<std::string> items;
  for (const toml::node& item : *value.as_array()) {
    if (!item.is_string()) {
      Fail(at, "expected a list of strings");
    }
    items.push_back(item.as_string()->get());
  }
  return items;
}

SettingValue Convert(const SettingSpec& spec,
                     const toml::node& value,
                     const Location& at) {
  switch (spec.m_type) {
    case SettingType::kString:
      return ConvertString(spec, value, at);
    case SettingType::kInteger:
    case SettingType::kMilliseconds:
      if (!value.is_integer()) {
        Fail(at, "expected an integer");
      }
      CheckRange(spec, static_cast<double>(value.as_integer()->get()), at);
      return value.as_integer()->get();
    case SettingType::kNumber: {
      if (!value.is_integer() && !value.is_floating_point()) {
        Fail(at, "expected a number");
      }
      const double number = value.is_integer()
                                ? static_cast<double>(value.as_integer()->get())
                                : value.as_floating_point()->get();
      CheckRange(spec, number, at);
      return number;
    }
    case SettingType::kBoolean:
      if (!value.is_boolean()) {
        Fail(at, "expected true or false");
      }
      return value.as_boolean()->get();
    case SettingType::kStringList:
      return ConvertList(value, at);
  }
  Fail(at, "unsupported type");
}

void RejectUnknownKeys(
    const SettingTable& table,
    const std::map<std::string, const toml::node*>& file_values,
    const std::string& source) {
  std::vector<std::string> known;
  for (const SettingSpec& spec : table) {
    known.push_back(spec.m_key);
  }
  for (const auto& [key, value] : file_values) {
    if (std::find(known.begin(), known.end(), key) != known.end()) {
      continue;
    }
    const std::string nearest = NearestName(key, known);
    Fail({source, LineOf(*value), key},
         nearest.empty() ? "unknown; remove it"
                         : "unknown; did you mean '" + nearest + "'?");
  }
}

}  // namespace

Settings ParseSettings(const SettingTable& table,
                       const std::string& text,
                       const std::string& source) {
  const toml::table root =
      ParseTomlText(text, source, ErrorCode::kInvalidSettings);
  std::map<std::string, const toml::node*> file_values;
  Flatten(root, "", file_values);
  RejectUnknownKeys(table, file_values, source);

  std::map<std::string, SettingValue> values;
  for (const SettingSpec& spec : table) {
    const auto found = file_values.find(spec.m_key);
    if (found != file_values.end()) {
      values.emplace(spec.m_key,
                     Convert(spec, *found->second,
                             {source, LineOf(*found->second), spec.m_key}));
    } else if (spec.m_default) {
      values.emplace(spec.m_key, *spec.m_default);
    } else {
      throw Error(ErrorCode::kInvalidSettings,
                  source + ": setting '" + spec.m_key +
                      "' is required: " + spec.m_help);
    }
  }
  return Settings(std::move(values));
}

Settings LoadSettings(const SettingTable& table, const std::string& path) {
  return ParseSettings(table, ReadFile(path), path);
}

std::string LoadSecret(const std::string& path) {
  const std::string text = ReadFile(path);
  std::string line = text.substr(0, text.find_first_of("\r\n"));
  if (line.empty()) {
    throw Error(ErrorCode::kInvalidSettings,
                path + ": the first line must contain the secret");
  }
  return line;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw Error(ErrorCode::kIo, path + ": cannot be opened for reading");
  }
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

}  // namespace hickoryloft::settings
