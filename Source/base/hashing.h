// Hashes: fast ones for assigning items to hosts, salted digests for API keys.

#ifndef SOURCE_BASE_HASHING_H_
#define SOURCE_BASE_HASHING_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace hickoryloft {

// Returns a 64-bit hash of `text` that is the same on every host and in every
// run. Thread-safe.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

// Returns the lower-case hexadecimal SHA-256 digest of `salt` followed by
// `text`. Thread-safe.
std::string SaltedDigest(std::string_view salt, std::string_view text);

// Compares two strings in a time that depends only on their lengths.
// Thread-safe.
bool EqualInConstantTime(std::string_view left, std::string_view right);

// Returns the indices of `candidates` in the order of rendezvous hashing for
// `item`, the preferred one first. If a candidate is removed, only the items
// that preferred it change their first candidate. Thread-safe.
std::vector<std::size_t> RendezvousOrder(
    std::string_view item,
    std::span<const std::string> candidates);

}  // namespace hickoryloft

#endif  // SOURCE_BASE_HASHING_H_
