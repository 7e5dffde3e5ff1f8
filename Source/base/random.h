// Random numbers: unpredictable ones for identifiers, seeded ones for
// decisions.

#ifndef SOURCE_BASE_RANDOM_H_
#define SOURCE_BASE_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace hickoryloft {

// A generator for decisions. Callers pass in a seeded one, so that a run can be
// repeated with its seed. Not thread-safe.
using RandomEngine = std::mt19937_64;

// Returns 64 unpredictable random bits; a collision with another process is not
// expected. Thread-safe. Throws Error(kIo) if no entropy is available.
std::uint64_t RandomBits();

// Returns `bytes` random bytes as lower-case hexadecimal text. Thread-safe.
// Throws Error(kIo) if no entropy is available.
std::string RandomHex(std::size_t bytes);

}  // namespace hickoryloft

#endif  // SOURCE_BASE_RANDOM_H_
