// Random numbers: unpredictable identifiers, and seeded draws for decisions.

#ifndef SOURCE_BASE_RANDOM_H_
#define SOURCE_BASE_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace hickoryloft {

// A seeded generator for decisions; pass it in so that a seed replays a run.
// Not thread-safe.
using RandomEngine = std::mt19937_64;

// Returns 64 bits that no other process draws in practice. Thread-safe. Throws
// Error(kIo) without entropy.
std::uint64_t RandomBits();

// Returns `bytes` random bytes as lower-case hexadecimal text. Thread-safe.
// Throws Error(kIo) without entropy.
std::string RandomHex(std::size_t bytes);

}  // namespace hickoryloft

#endif  // SOURCE_BASE_RANDOM_H_
