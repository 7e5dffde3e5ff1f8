// Reads a TOML settings file and validates it against a table.

#ifndef SOURCE_SETTINGS_SETTINGS_FILE_H_
#define SOURCE_SETTINGS_SETTINGS_FILE_H_

#include <string>

#include "settings/setting_table.h"

namespace hickoryloft::settings {

// Parses `text` and validates each key against `table`; `source` is the file
// name for error messages. Thread-safe. Throws Error(kInvalidSettings) with
// file, line, key and remedy for invalid syntax, an unknown key (with the
// nearest known name), a wrong type or a value out of range; without a line if
// a required key is missing.
Settings ParseSettings(const SettingTable& table,
                       const std::string& text,
                       const std::string& source);

// Reads and parses the file at `path`. Thread-safe. Throws Error(kIo) if it
// cannot be read.
Settings LoadSettings(const SettingTable& table, const std::string& path);

// Returns the first line of the file at `path`, without its line end. Secrets
// are passed to a program only in such files. Thread-safe. Throws Error(kIo) if
// the file cannot be read and Error(kInvalidSettings) if the line is empty.
std::string LoadSecret(const std::string& path);

// Returns the contents of the file at `path`. Thread-safe. Throws Error(kIo) if
// it cannot be read.
std::string ReadFile(const std::string& path);

}  // namespace hickoryloft::settings

#endif  // SOURCE_SETTINGS_SETTINGS_FILE_H_
