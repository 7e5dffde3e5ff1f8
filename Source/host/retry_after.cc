#include "host/retry_after.h"

#include <array>
#include <cstdio>

namespace hickoryloft::host {

http::HeaderField RetryAfterField(Duration delay) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f", ToSeconds(delay));
  return {"Retry-After", text.data()};
}

std::string ProblemBody(int status, const std::string& reason) {
  return "{\"type\":\"urn:hickoryloft:problem:" + reason +
         "\",\"status\":" + std::to_string(status) + "}";
}

}  // namespace hickoryloft::host
