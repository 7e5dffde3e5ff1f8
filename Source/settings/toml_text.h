// Parses TOML text, for settings and for documents.

#ifndef SOURCE_SETTINGS_TOML_TEXT_H_
#define SOURCE_SETTINGS_TOML_TEXT_H_

#include <string>

#include "base/error.h"

// The assertions of toml++ are disabled. It asserts conditions that it also
// checks afterwards: malformed text such as "[~x]" would abort the process or,
// with NDEBUG, cause undefined behavior, whereas the check reports an error.
// Its support for unreleased TOML versions is disabled because it causes
// undefined behavior for some letters. Always include toml++ through this
// header.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(expr) static_cast<void>(0)
#define TOML_ENABLE_UNRELEASED_FEATURES 0
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

namespace hickoryloft::settings {

// Parses `text`. Thread-safe. Throws Error(`code`) with `source` and the line
// if `text` is not valid TOML or has a non-ASCII character outside comment
// lines.
toml::table ParseTomlText(const std::string& text,
                          const std::string& source,
                          ErrorCode code);

// Returns the line on which `node` begins. Thread-safe.
inline std::uint32_t LineOf(const toml::node& node) {
  return node.source().begin.line;
}

}  // namespace hickoryloft::settings

#endif  // SOURCE_SETTINGS_TOML_TEXT_H_
