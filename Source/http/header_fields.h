// Header fields of HTTP messages.

#ifndef SOURCE_HTTP_HEADER_FIELDS_H_
#define SOURCE_HTTP_HEADER_FIELDS_H_

#include <string>
#include <string_view>
#include <vector>

namespace hickoryloft::http {

struct HeaderField {
  std::string m_name;
  std::string m_value;
};
using HeaderFields = std::vector<HeaderField>;

// Compares two field names without regard to case. Thread-safe.
bool SameName(std::string_view left, std::string_view right);

// Returns the value of the first field named `name`, or nullptr. Names are
// compared without regard to case. Thread-safe.
const std::string* FindHeader(const HeaderFields& fields,
                              std::string_view name);

// Returns the number of fields named `name`. Thread-safe.
std::size_t CountHeaders(const HeaderFields& fields, std::string_view name);

// Returns whether `name` concerns one connection only, so that an intermediary
// must not forward it. Thread-safe.
bool IsHopByHop(std::string_view name);

// Returns whether `text` can be the value of a field: not empty, and without
// control characters. Thread-safe.
bool IsFieldValue(std::string_view text);

// Returns the reason phrase of `status`. Thread-safe.
std::string_view ReasonPhrase(int status);

}  // namespace hickoryloft::http

#endif  // SOURCE_HTTP_HEADER_FIELDS_H_
