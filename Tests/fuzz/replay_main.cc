// Replays a corpus: every file of the directories given as arguments, unchanged
// and with deterministic mutations.

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <vector>

#include "fuzz_target.h"

namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr int kMutationsPerFile = 2000;
constexpr std::uint64_t kSeed = 1;

Bytes ReadBytes(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

// Changes, removes or duplicates one byte, or truncates the input.
void Mutate(Bytes& bytes, std::mt19937_64& random) {
  if (bytes.empty()) {
    return;
  }
  const auto position = static_cast<std::ptrdiff_t>(random() % bytes.size());
  switch (random() % 4) {
    case 0:
      bytes[static_cast<std::size_t>(position)] =
          static_cast<std::uint8_t>(random());
      break;
    case 1:
      bytes.erase(bytes.begin() + position);
      break;
    case 2:
      bytes.insert(bytes.begin() + position,
                   bytes[static_cast<std::size_t>(position)]);
      break;
    default:
      bytes.resize(static_cast<std::size_t>(position));
  }
}

void Replay(const std::filesystem::path& path) {
  const Bytes original = ReadBytes(path);
  LLVMFuzzerTestOneInput(original.data(), original.size());
  std::mt19937_64 random(kSeed);
  for (int i = 0; i < kMutationsPerFile; ++i) {
    Bytes bytes = original;
    const std::uint64_t changes = 1 + random() % 4;
    for (std::uint64_t j = 0; j < changes; ++j) {
      Mutate(bytes, random);
    }
    LLVMFuzzerTestOneInput(bytes.data(), bytes.size());
  }
}

}  // namespace

int main(int argc, char** argv) {
  int files = 0;
  for (int i = 1; i < argc; ++i) {
    for (const auto& item : std::filesystem::directory_iterator(argv[i])) {
      Replay(item.path());
      ++files;
    }
  }
  std::cout << files << " files replayed\n";
  return files > 0 ? 0 : 1;
}
