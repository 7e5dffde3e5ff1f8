#include "settings/toml_text.h"

#include <algorithm>
#include <sstream>

namespace hickoryloft::settings {

namespace {

constexpr char kBlanks[] = " \t";

bool IsAscii(char c) {
  constexpr unsigned char kFirstNonAscii = 0x80;
  return static_cast<unsigned char>(c) < kFirstNonAscii;
}

// Throws if there is a non-ASCII character outside comment lines. toml++ has
// undefined behavior when it classifies such a character where it expects white
// space or a key, which cannot occur in a comment line.
void RejectNonAscii(const std::string& text,
                    const std::string& source,
                    ErrorCode code) {
  std::istringstream lines(text);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    const std::size_t first = line.find_first_not_of(kBlanks);
    const bool comment = first != std::string::npos && line[first] == '#';
    if (!comment && !std::all_of(line.begin(), line.end(), &IsAscii)) {
      throw Error(code, source + ":" + std::to_string(number) +
                            ": only comment lines may hold characters beyond "
                            "ASCII; write \\uXXXX in a string");
    }
  }
}

}  // namespace

toml::table ParseTomlText(const std::string& text,
                          const std::string& source,
                          ErrorCode code) {
  RejectNonAscii(text, source, code);
  try {
    return toml::parse(text, source);
  } catch (const toml::parse_error& error) {
    throw Error(code,
                source + ":" + std::to_string(error.source().begin.line) +
                    ": not valid TOML: " + std::string(error.description()));
  }
}

}  // namespace hickoryloft::settings
