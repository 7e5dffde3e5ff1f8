#include "routing/prefix_chain.h"

#include "base/hashing.h"

namespace hickoryloft::routing {

PrefixChain HashPrefix(std::string_view served_name, std::string_view prompt) {
  PrefixChain chain;
  std::uint64_t hash = StableHash(served_name);
  while (chain.m_size < PrefixChain::kMaxBlocks &&
         prompt.size() >= PrefixChain::kBlockBytes) {
    hash = StableHash(prompt.substr(0, PrefixChain::kBlockBytes), hash);
    chain.m_hashes[chain.m_size++] = hash;
    prompt.remove_prefix(PrefixChain::kBlockBytes);
  }
  return chain;
}

}  // namespace hickoryloft::routing
