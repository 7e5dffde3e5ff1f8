#include "admission/request_fingerprint.h"

#include "base/hashing.h"

namespace hickoryloft::admission {

namespace {

// Ids of prompt parts have letters and digits only.
constexpr std::string_view kPrefix = "request-";
constexpr std::size_t kDigits = 32;

}  // namespace

std::string FingerprintOf(std::string_view caller,
                          std::string_view target,
                          std::string_view body) {
  // The lengths keep caller and target apart.
  std::string salt =
      std::to_string(caller.size()) + "," + std::to_string(target.size()) + ",";
  salt.append(caller).append(target);
  return std::string(kPrefix) + SaltedDigest(salt, body).substr(0, kDigits);
}

bool IsFingerprint(std::string_view id) {
  return id.starts_with(kPrefix);
}

}  // namespace hickoryloft::admission
