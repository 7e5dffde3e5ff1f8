#include "base/hashing.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <numeric>

#include "base/error.h"

namespace hickoryloft {

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string SaltedDigest(std::string_view salt, std::string_view text) {
  std::string input(salt);
  input.append(text);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_Digest(input.data(), input.size(), digest.data(), &size, EVP_sha256(),
                 nullptr) != 1) {
    throw Error(ErrorCode::kIo,
                "SHA-256 is not available in the crypto library");
  }
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(size * 2);
  for (unsigned int i = 0; i < size; ++i) {
    hex.push_back(kDigits[digest[i] >> 4U]);
    hex.push_back(kDigits[digest[i] & 15U]);
  }
  return hex;
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::vector<std::size_t> RendezvousOrder(
    std::string_view item,
    std::span<const std::string> candidates) {
  const std::uint64_t seed = StableHash(item);
  std::vector<std::uint64_t> weights;
  weights.reserve(candidates.size());
  for (const std::string& candidate : candidates) {
    weights.push_back(StableHash(candidate, seed));
  }
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(),
            [&](std::size_t left, std::size_t right) {
              if (weights[left] != weights[right]) {
                return weights[left] > weights[right];
              }
              return candidates[left] < candidates[right];
            });
  return order;
}

}  // namespace hickoryloft
