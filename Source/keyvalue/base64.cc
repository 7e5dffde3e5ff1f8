#include "keyvalue/base64.h"

#include <openssl/evp.h>

#include "base/error.h"

namespace hickoryloft::keyvalue {

namespace {

constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupText = 4;

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  const std::size_t groups = (bytes.size() + kGroupBytes - 1) / kGroupBytes;
  // The library writes a terminating zero.
  std::string text(groups * kGroupText + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::string DecodeBase64(std::string_view text) {
  if (text.empty()) {
    return {};
  }
  std::string bytes(text.size() / kGroupText * kGroupBytes, '\0');
  const int length =
      text.size() % kGroupText != 0
          ? -1
          : EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                            reinterpret_cast<const unsigned char*>(text.data()),
                            static_cast<int>(text.size()));
  if (length < 0) {
    throw Error(ErrorCode::kProtocol, "a field is not valid base64");
  }
  // The library counts the padding as zero bytes.
  const std::size_t padding =
      text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

}  // namespace hickoryloft::keyvalue
