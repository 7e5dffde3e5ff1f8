// Typed access to JSON from outside. Errors name the invalid field.

#ifndef SOURCE_BASE_JSON_READER_H_
#define SOURCE_BASE_JSON_READER_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace hickoryloft {

// One object and its path in the document. Throws Error(`code`) for a missing
// field or one of the wrong type. Refers to the JSON, which must outlive it.
// Thread-safe.
class JsonReader {
 public:
  JsonReader(const nlohmann::json& object, std::string path, ErrorCode code);

  bool Has(const char* field) const;
  std::string String(const char* field) const;
  std::string StringOr(const char* field, const std::string& fallback) const;
  double Number(const char* field) const;
  double NumberOr(const char* field, double fallback) const;
  // Return a whole number; Count() one from 0 to the largest int.
  std::int64_t Integer(const char* field) const;
  int Count(const char* field) const;
  int CountOr(const char* field, int fallback) const;
  bool BooleanOr(const char* field, bool fallback) const;
  // Millis() reads a number of milliseconds, SecondsOr() a number of seconds.
  Duration Millis(const char* field) const;
  Duration MillisOr(const char* field, Duration fallback) const;
  Duration SecondsOr(const char* field, Duration fallback) const;
  JsonReader Object(const char* field) const;
  // Returns the array `field`; an empty one if it is absent.
  const nlohmann::json& Array(const char* field) const;
  JsonReader Element(const char* field, std::size_t index) const;
  // Returns the array of strings `field`; an empty one if it is absent.
  std::vector<std::string> Strings(const char* field) const;

 private:
  const nlohmann::json& Field(const char* field) const;
  [[noreturn]] void Fail(const char* field, std::string_view expected) const;

  const nlohmann::json& m_object;
  std::string m_path;
  ErrorCode m_code;
};

// Parses `text`. Throws Error(`code`) if it is not JSON.
nlohmann::json ParseJson(const std::string& text,
                         const std::string& path,
                         ErrorCode code);

}  // namespace hickoryloft

#endif  // SOURCE_BASE_JSON_READER_H_
