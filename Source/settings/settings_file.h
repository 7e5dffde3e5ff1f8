// Reads a TOML settings file and checks it against a table.

#ifndef SOURCE_SETTINGS_SETTINGS_FILE_H_
#define SOURCE_SETTINGS_SETTINGS_FILE_H_

#include <string>

#include "settings/setting_table.h"

namespace hickoryloft::settings {

// Parses `text` and checks each key against `table`; `source` is the name used
// in errors. Thread-safe. Throws Error(kInvalidSettings) that names file, line,
// key and what to do: bad syntax, an unknown key (with the nearest known name),
// a wrong type, a value out of range, a required key that is missing.
Settings ParseSettings(const SettingTable& table,
                       const std::string& text,
                       const std::string& source);

// Reads and parses the file at `path`. Thread-safe. Throws Error(kIo) if it
// cannot be read.
Settings LoadSettings(const SettingTable& table, const std::string& path);

// Returns the first line of the file at `path`, without its line end; secrets
// are given only this way. Thread-safe. Throws Error(kIo) if it cannot be read
// and Error(kInvalidSettings) if it is empty.
std::string LoadSecret(const std::string& path);

// Returns the whole file at `path`. Thread-safe. Throws Error(kIo) if it cannot
// be read.
std::string ReadFile(const std::string& path);

}  // namespace hickoryloft::settings

#endif  // SOURCE_SETTINGS_SETTINGS_FILE_H_
