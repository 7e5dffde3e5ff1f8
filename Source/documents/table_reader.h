// Reads the keys of one TOML table with checks of type and range, and rejects
// unknown keys.

#ifndef SOURCE_DOCUMENTS_TABLE_READER_H_
#define SOURCE_DOCUMENTS_TABLE_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "settings/toml_text.h"

namespace hickoryloft::documents {

// Inclusive bounds of a number.
template <typename T>
struct Range {
  T m_minimum;
  T m_maximum;
};

// Refers to a table that must outlive the reader. Not thread-safe. Each method
// throws Error(kInvalidDocument) that names source, line and key.
class TableReader {
 public:
  // `path` is the dotted name of `table` in the document, empty at the root.
  TableReader(const toml::node& table, std::string path, std::string source);

  // Each returns the value of `key`, or `fallback` if the key is absent. An
  // absent key without a fallback is an error.
  std::string String(const std::string& key,
                     const std::optional<std::string>& fallback = {});
  std::uint64_t Unsigned(const std::string& key,
                         Range<std::uint64_t> range,
                         std::optional<std::uint64_t> fallback = {});
  double Number(const std::string& key,
                Range<double> range,
                std::optional<double> fallback = {});
  bool Boolean(const std::string& key, bool fallback);
  std::vector<std::string> StringList(const std::string& key);

  // Returns a reader of the table `key`, if it is present.
  std::optional<TableReader> Table(const std::string& key);
  // Returns a reader of each table in the table `key`, by name; the names are
  // checked with CheckName().
  std::vector<TableReader> NamedTables(const std::string& key);

  // Throws if the table has a key that was not read.
  void RejectUnknownKeys() const;

  // Throws unless `name` can be used in URLs, in keys of the key-value service
  // and in served names.
  void CheckName(const std::string& key, const std::string& name) const;

  // Throws Error(kInvalidDocument) about `key`, or about the table if `key` is
  // empty.
  [[noreturn]] void Fail(const std::string& key, const std::string& what) const;

  // Returns the last part of the table's path.
  const std::string& name() const { return m_name; }

 private:
  const toml::node* Find(const std::string& key);
  const toml::node& Require(const std::string& key);
  std::string PathOf(const std::string& key) const;

  const toml::node* m_table;
  std::string m_path;
  std::string m_name;
  std::string m_source;
  std::vector<std::string> m_known_keys;
};

}  // namespace hickoryloft::documents

#endif  // SOURCE_DOCUMENTS_TABLE_READER_H_
