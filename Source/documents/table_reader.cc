#include "documents/table_reader.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <sstream>
#include <utility>

#include "base/error.h"
#include "settings/nearest_name.h"
#include "settings/toml_text.h"

namespace hickoryloft::documents {

namespace {

constexpr std::size_t kMaxNameBytes = 128;

bool IsNameByte(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
         c == '_' || c == '.';
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes && text[0] != '.' &&
         std::all_of(text.begin(), text.end(), &IsNameByte);
}

template <typename T>
std::string OutOfRangeText(T value, T minimum, T maximum) {
  std::ostringstream text;
  text << "the value " << value << " is outside " << minimum << " to "
       << maximum;
  return text.str();
}

}  // namespace

TableReader::TableReader(const toml::node& table,
                         std::string path,
                         std::string source)
    : m_table(&table),
      m_path(std::move(path)),
      m_name(m_path.substr(m_path.rfind('.') + 1)),
      m_source(std::move(source)) {
  if (!table.is_table()) {
    Fail("", "expected a table");
  }
}

std::string TableReader::String(const std::string& key,
                                const std::optional<std::string>& fallback) {
  const toml::node* value = Find(key);
  if (value == nullptr && fallback) {
    return *fallback;
  }
  const toml::node& found = Require(key);
  if (!found.is_string()) {
    Fail(key, "expected a string");
  }
  return found.as_string()->get();
}

std::uint64_t TableReader::Unsigned(const std::string& key,
                                    Range<std::uint64_t> range,
                                    std::optional<std::uint64_t> fallback) {
  if (Find(key) == nullptr && fallback) {
    return *fallback;
  }
  const toml::node& value = Require(key);
  if (!value.is_integer()) {
    Fail(key, "expected an integer");
  }
  const std::int64_t number = value.as_integer()->get();
  if (number < 0 || static_cast<std::uint64_t>(number) < range.m_minimum ||
      static_cast<std::uint64_t>(number) > range.m_maximum) {
    Fail(key, OutOfRangeText<std::int64_t>(
                  number, static_cast<std::int64_t>(range.m_minimum),
                  static_cast<std::int64_t>(range.m_maximum)));
  }
  return static_cast<std::uint64_t>(number);
}

double TableReader::Number(const std::string& key,
                           Range<double> range,
                           std::optional<double> fallback) {
  if (Find(key) == nullptr && fallback) {
    return *fallback;
  }
  const toml::node& value = Require(key);
  if (!value.is_integer() && !value.is_floating_point()) {
    Fail(key, "expected a number");
  }
  const double number = value.is_integer()
                            ? static_cast<double>(value.as_integer()->get())
                            : value.as_floating_point()->get();
  if (!std::isfinite(number) || number < range.m_minimum ||
      number > range.m_maximum) {
    Fail(key, OutOfRangeText(number, range.m_minimum, range.m_maximum));
  }
  return number;
}

bool TableReader::Boolean(const std::string& key, bool fallback) {
  const toml::node* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_boolean()) {
    Fail(key, "expected true or false");
  }
  return value->as_boolean()->get();
}

std::vector<std::string> TableReader::StringList(const std::string& key) {
  const toml::node* value = Find(key);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_array()) {
    Fail(key, "expected a list of strings");
  }
  std::vector<std::string> items;
  for (const toml::node& item : *value->as_array()) {
    if (!item.is_string()) {
      Fail(key, "expected a list of strings");
    }
    items.push_back(item.as_string()->get());
  }
  return items;
}

std::optional<TableReader> TableReader::Table(const std::string& key) {
  const toml::node* value = Find(key);
  if (value == nullptr) {
    return std::nullopt;
  }
  return TableReader(*value, PathOf(key), m_source);
}

std::vector<TableReader> TableReader::NamedTables(const std::string& key) {
  std::vector<TableReader> tables;
  const toml::node* value = Find(key);
  if (value == nullptr) {
    return tables;
  }
  if (!value->is_table()) {
    Fail(key, "expected a table of tables");
  }
  for (const auto& [table_name, child] : *value->as_table()) {
    const std::string name(table_name.str());
    CheckName(key, name);
    tables.emplace_back(child, PathOf(key) + '.' + name, m_source);
    // A name may contain dots.
    tables.back().m_name = name;
  }
  return tables;
}

void TableReader::RejectUnknownKeys() const {
  for (const auto& [table_key, value] : *m_table->as_table()) {
    const std::string key(table_key.str());
    if (std::find(m_known_keys.begin(), m_known_keys.end(), key) !=
        m_known_keys.end()) {
      continue;
    }
    const std::string nearest = settings::NearestName(key, m_known_keys);
    Fail(key, nearest.empty() ? "unknown; remove it"
                              : "unknown; did you mean '" + nearest + "'?");
  }
}

void TableReader::CheckName(const std::string& key,
                            const std::string& name) const {
  if (!IsName(name)) {
    Fail(key, "'" + name +
                  "' is not a name; use 1 to 128 letters, digits, '-', '_' or "
                  "'.', not starting with '.'");
  }
}

void TableReader::Fail(const std::string& key, const std::string& what) const {
  std::uint32_t line = settings::LineOf(*m_table);
  if (!key.empty() && m_table->is_table()) {
    const toml::node* value = m_table->as_table()->get(key);
    line = value == nullptr ? line : settings::LineOf(*value);
  }
  const std::string path = key.empty() ? m_path : PathOf(key);
  throw Error(
      ErrorCode::kInvalidDocument,
      m_source + ":" + std::to_string(line) + ": '" + path + "': " + what);
}

const toml::node* TableReader::Find(const std::string& key) {
  m_known_keys.push_back(key);
  return m_table->as_table()->get(key);
}

const toml::node& TableReader::Require(const std::string& key) {
  const toml::node* value = Find(key);
  if (value == nullptr) {
    Fail(key, "is required; add it");
  }
  return *value;
}

std::string TableReader::PathOf(const std::string& key) const {
  return m_path.empty() ? key : m_path + '.' + key;
}

}  // namespace hickoryloft::documents
