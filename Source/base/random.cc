#include "base/random.h"

#include <openssl/rand.h>

#include <array>
#include <cstring>
#include <vector>

#include "base/error.h"

namespace hickoryloft {

namespace {

void FillRandom(unsigned char* out, std::size_t size) {
  if (RAND_bytes(out, static_cast<int>(size)) != 1) {
    throw Error(ErrorCode::kIo,
                "the crypto library cannot provide random bytes");
  }
}

}  // namespace

std::uint64_t RandomBits() {
  std::array<unsigned char, sizeof(std::uint64_t)> bytes{};
  FillRandom(bytes.data(), bytes.size());
  std::uint64_t value = 0;
  std::memcpy(&value, bytes.data(), sizeof(value));
  return value;
}

std::string RandomHex(std::size_t bytes) {
  std::vector<unsigned char> raw(bytes);
  FillRandom(raw.data(), raw.size());
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (unsigned char byte : raw) {
    hex.push_back(kDigits[byte >> 4U]);
    hex.push_back(kDigits[byte & 15U]);
  }
  return hex;
}

}  // namespace hickoryloft
