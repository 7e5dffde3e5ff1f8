#include "http/header_fields.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace hickoryloft::http {

bool SameName(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

const std::string* FindHeader(const HeaderFields& fields,
                              std::string_view name) {
  for (const HeaderField& field : fields) {
    if (SameName(field.m_name, name)) {
      return &field.m_value;
    }
  }
  return nullptr;
}

std::size_t CountHeaders(const HeaderFields& fields, std::string_view name) {
  return static_cast<std::size_t>(std::count_if(
      fields.begin(), fields.end(),
      [&](const HeaderField& field) { return SameName(field.m_name, name); }));
}

bool IsFieldValue(std::string_view text) {
  constexpr char kFirstPrintable = ' ';
  constexpr char kDelete = 127;
  return !text.empty() &&
         std::none_of(text.begin(), text.end(), [](char letter) {
           return (letter >= 0 && letter < kFirstPrintable) ||
                  letter == kDelete;
         });
}

bool IsHopByHop(std::string_view name) {
  static constexpr std::array<std::string_view, 9> kNames = {
      "connection",
      "keep-alive",
      "proxy-authenticate",
      "proxy-authorization",
      "proxy-connection",
      "te",
      "trailer",
      "transfer-encoding",
      "upgrade"};
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view known) {
    return SameName(known, name);
  });
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 412:
      return "Precondition Failed";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace hickoryloft::http
