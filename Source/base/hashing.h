// Hashes: fast ones for placement on hosts, salted digests for keys.

#ifndef SOURCE_BASE_HASHING_H_
#define SOURCE_BASE_HASHING_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace hickoryloft {

// Returns a 64-bit hash of `text`, equal on every host and in every run.
// Thread-safe.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

// Returns the lower-case hexadecimal SHA-256 digest of `salt` followed by
// `text`. Thread-safe.
std::string SaltedDigest(std::string_view salt, std::string_view text);

// Compares two strings in a time that depends on their lengths only.
// Thread-safe.
bool EqualInConstantTime(std::string_view left, std::string_view right);

// Returns the indices of `candidates` in rendezvous order for `item`: the first
// is the preferred one, and removing a candidate moves only the items that
// preferred it. Thread-safe.
std::vector<std::size_t> RendezvousOrder(
    std::string_view item,
    std::span<const std::string> candidates);

}  // namespace hickoryloft

#endif  // SOURCE_BASE_HASHING_H_
