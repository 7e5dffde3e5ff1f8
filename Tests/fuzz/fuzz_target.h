// The entry point of a fuzz target, called by libFuzzer or by replay_main.cc.

#ifndef TESTS_FUZZ_FUZZ_TARGET_H_
#define TESTS_FUZZ_FUZZ_TARGET_H_

#include <cstddef>
#include <cstdint>
#include <string>

// Feeds `size` bytes at `data` to the code under test; returns 0. A failure is
// a crash, a sanitizer report or an exception of an unexpected type.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

// Returns the input as text.
inline std::string InputText(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

#endif  // TESTS_FUZZ_FUZZ_TARGET_H_
