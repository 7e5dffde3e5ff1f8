// Hashes of a prompt's leading blocks, to compare prompt prefixes.

#ifndef SOURCE_ROUTING_PREFIX_CHAIN_H_
#define SOURCE_ROUTING_PREFIX_CHAIN_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace hickoryloft::routing {

// Chained hashes of a prompt's leading blocks. Each hash includes all previous
// blocks, so that equal hashes mean equal prefixes.
struct PrefixChain {
  static constexpr std::size_t kMaxBlocks = 8;
  static constexpr std::size_t kBlockBytes = 128;

  std::array<std::uint64_t, kMaxBlocks> m_hashes{};
  std::size_t m_size = 0;
};

// Returns the chain of `prompt` for the artifact `served_name`. Only whole
// blocks are hashed. Thread-safe.
PrefixChain HashPrefix(std::string_view served_name, std::string_view prompt);

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_PREFIX_CHAIN_H_
