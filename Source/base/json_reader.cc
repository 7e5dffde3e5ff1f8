#include "base/json_reader.h"

#include <cmath>
#include <limits>
#include <utility>

namespace hickoryloft {

namespace {

constexpr double kLargestExactInteger = 9007199254740992.0;  // 2^53
constexpr double kMaxSeconds = 1e9;  // Fits into the range of the clock.

}  // namespace

JsonReader::JsonReader(const nlohmann::json& object,
                       std::string path,
                       ErrorCode code)
    : m_object(object), m_path(std::move(path)), m_code(code) {
  if (!m_object.is_object()) {
    throw Error(m_code, m_path + " must be an object");
  }
}

bool JsonReader::Has(const char* field) const {
  const auto found = m_object.find(field);
  return found != m_object.end() && !found->is_null();
}

const nlohmann::json& JsonReader::Field(const char* field) const {
  const auto found = m_object.find(field);
  if (found == m_object.end()) {
    throw Error(m_code, m_path + "." + field + " is missing");
  }
  return *found;
}

void JsonReader::Fail(const char* field, std::string_view expected) const {
  // Printing a value recurses into it, and its depth is not limited.
  const nlohmann::json& value = Field(field);
  throw Error(m_code, m_path + "." + field + " must be " +
                          std::string(expected) + ", not " +
                          (value.is_primitive() ? value.dump().substr(0, 64)
                                                : value.type_name()));
}

std::string JsonReader::String(const char* field) const {
  const nlohmann::json& value = Field(field);
  if (!value.is_string()) {
    Fail(field, "a string");
  }
  return value.get<std::string>();
}

std::string JsonReader::StringOr(const char* field,
                                 const std::string& fallback) const {
  return Has(field) ? String(field) : fallback;
}

double JsonReader::Number(const char* field) const {
  const nlohmann::json& value = Field(field);
  if (!value.is_number()) {
    Fail(field, "a number");
  }
  return value.get<double>();
}

double JsonReader::NumberOr(const char* field, double fallback) const {
  return Has(field) ? Number(field) : fallback;
}

std::int64_t JsonReader::Integer(const char* field) const {
  const double value = Number(field);
  if (std::floor(value) != value || std::abs(value) > kLargestExactInteger) {
    Fail(field, "a whole number");
  }
  return static_cast<std::int64_t>(value);
}

int JsonReader::Count(const char* field) const {
  const std::int64_t value = Integer(field);
  if (value < 0 || value > std::numeric_limits<int>::max()) {
    Fail(field, "a count");
  }
  return static_cast<int>(value);
}

int JsonReader::CountOr(const char* field, int fallback) const {
  return Has(field) ? Count(field) : fallback;
}

bool JsonReader::BooleanOr(const char* field, bool fallback) const {
  if (!Has(field)) {
    return fallback;
  }
  const nlohmann::json& value = Field(field);
  if (!value.is_boolean()) {
    Fail(field, "true or false");
  }
  return value.get<bool>();
}

Duration JsonReader::Millis(const char* field) const {
  const double value = Number(field);
  if (value < 0 || value > kMaxSeconds * 1000) {
    Fail(field, "a number of milliseconds");
  }
  return FromSeconds(value / 1000);
}

Duration JsonReader::MillisOr(const char* field, Duration fallback) const {
  return Has(field) ? Millis(field) : fallback;
}

Duration JsonReader::SecondsOr(const char* field, Duration fallback) const {
  if (!Has(field)) {
    return fallback;
  }
  const double value = Number(field);
  if (value < 0 || value > kMaxSeconds) {
    Fail(field, "a number of seconds");
  }
  return FromSeconds(value);
}

JsonReader JsonReader::Object(const char* field) const {
  return {Field(field), m_path + "." + field, m_code};
}

const nlohmann::json& JsonReader::Array(const char* field) const {
  static const nlohmann::json kEmpty = nlohmann::json::array();
  if (!Has(field)) {
    return kEmpty;
  }
  const nlohmann::json& value = Field(field);
  if (!value.is_array()) {
    Fail(field, "an array");
  }
  return value;
}

std::vector<std::string> JsonReader::Strings(const char* field) const {
  std::vector<std::string> strings;
  for (const nlohmann::json& element : Array(field)) {
    if (!element.is_string()) {
      Fail(field, "an array of strings");
    }
    strings.push_back(element.get<std::string>());
  }
  return strings;
}

JsonReader JsonReader::Element(const char* field, std::size_t index) const {
  return {Array(field).at(index),
          m_path + "." + field + "[" + std::to_string(index) + "]", m_code};
}

nlohmann::json ParseJson(const std::string& text,
                         const std::string& path,
                         ErrorCode code) {
  nlohmann::json value =
      nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded()) {
    throw Error(code, path + " is not JSON");
  }
  return value;
}

}  // namespace hickoryloft
