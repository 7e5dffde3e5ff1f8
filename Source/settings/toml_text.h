// Reads TOML text, for settings and documents alike.

#ifndef SOURCE_SETTINGS_TOML_TEXT_H_
#define SOURCE_SETTINGS_TOML_TEXT_H_

#include <string>

#include "base/error.h"

// The library asserts what it then checks: malformed text such as "[~x]" would
// abort the process, or, with NDEBUG, be undefined behavior. Without the
// assertion its own check reports the error. Its drafts of later TOML versions
// reach undefined behavior on some letters, so they are off. Every file
// includes the library through this header.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(expr) static_cast<void>(0)
#define TOML_ENABLE_UNRELEASED_FEATURES 0
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

namespace hickoryloft::settings {

// Returns the table that `text` holds. Thread-safe. Throws Error(`code`) that
// names `source` and the line if the text is not TOML, or if it holds a
// character beyond ASCII outside comment lines.
toml::table ParseTomlText(const std::string& text,
                          const std::string& source,
                          ErrorCode code);

// Returns the line on which `node` begins. Thread-safe.
inline std::uint32_t LineOf(const toml::node& node) {
  return node.source().begin.line;
}

}  // namespace hickoryloft::settings

#endif  // SOURCE_SETTINGS_TOML_TEXT_H_
