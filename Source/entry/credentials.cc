#include "entry/credentials.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace hickoryloft::entry {

namespace {

constexpr std::string_view kBearer = "Bearer ";

// Headers that concern one connection, hold credentials or are set per call.
constexpr std::array<std::string_view, 16> kNotForwarded = {
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-patience-ms",
    "x-request-id",
    "cookie"};

bool EqualIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

std::string DecodePercent(std::string_view text) {
  constexpr int kHexBase = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size() &&
                        HexValue(text[i + 1]) >= 0 &&
                        HexValue(text[i + 2]) >= 0;
    if (!escape) {
      decoded.push_back(text[i]);
      continue;
    }
    decoded.push_back(static_cast<char>(HexValue(text[i + 1]) * kHexBase +
                                        HexValue(text[i + 2])));
    i += 2;
  }
  return decoded;
}

bool ContainsRawOrEncoded(std::string_view text, const std::string& key) {
  if (key.empty()) {
    return false;
  }
  if (text.find(key) != std::string_view::npos) {
    return true;
  }
  return text.find('%') != std::string_view::npos &&
         DecodePercent(text).find(key) != std::string::npos;
}

}  // namespace

std::optional<std::string> FindKey(const endpoint::HeaderFields& headers) {
  const std::string* value = endpoint::FindHeader(headers, "Authorization");
  if (value == nullptr || value->size() <= kBearer.size() ||
      !EqualIgnoringCase(std::string_view(*value).substr(0, kBearer.size()),
                         kBearer)) {
    return std::nullopt;
  }
  const std::size_t start = value->find_first_not_of(' ', kBearer.size());
  if (start == std::string::npos) {
    return std::nullopt;
  }
  return value->substr(start, value->find_last_not_of(' ') + 1 - start);
}

endpoint::HeaderFields ForwardableHeaders(const endpoint::HeaderFields& headers,
                                          const std::string& key) {
  endpoint::HeaderFields kept;
  for (const endpoint::HeaderField& field : headers) {
    const bool dropped = std::any_of(
        kNotForwarded.begin(), kNotForwarded.end(), [&](std::string_view name) {
          return EqualIgnoringCase(field.m_name, name);
        });
    if (!dropped && !ContainsRawOrEncoded(field.m_value, key) &&
        !ContainsRawOrEncoded(field.m_name, key)) {
      kept.push_back(field);
    }
  }
  return kept;
}

std::string RemoveKeyFromQuery(std::string_view query, const std::string& key) {
  std::string kept;
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view parameter = query.substr(0, end);
    if (!ContainsRawOrEncoded(parameter, key)) {
      kept += kept.empty() ? "" : "&";
      kept += parameter;
    }
    query = end == std::string_view::npos ? std::string_view()
                                          : query.substr(end + 1);
  }
  return kept;
}

bool ContainsKey(std::string_view text, const std::string& key) {
  return key.size() >= kMinSearchedKeyBytes && ContainsRawOrEncoded(text, key);
}

}  // namespace hickoryloft::entry
