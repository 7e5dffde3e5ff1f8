#include "endpoint/http_client.h"

#include <strings.h>

namespace hickoryloft::endpoint {

const std::string* FindHeader(const HeaderFields& fields,
                              std::string_view name) {
  for (const HeaderField& field : fields) {
    if (field.m_name.size() == name.size() &&
        strncasecmp(field.m_name.data(), name.data(), name.size()) == 0) {
      return &field.m_value;
    }
  }
  return nullptr;
}

}  // namespace hickoryloft::endpoint
