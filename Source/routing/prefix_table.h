// Records which endpoint last processed a prompt prefix.

#ifndef SOURCE_ROUTING_PREFIX_TABLE_H_
#define SOURCE_ROUTING_PREFIX_TABLE_H_

#include <list>
#include <unordered_map>

#include "base/ids.h"
#include "routing/prefix_chain.h"

namespace hickoryloft::routing {

// Holds a bounded number of prefixes and evicts the least recently used. Not
// thread-safe.
class PrefixTable {
 public:
  static constexpr std::size_t kDefaultCapacity = 65536;

  explicit PrefixTable(std::size_t capacity = kDefaultCapacity)
      : m_capacity(capacity) {}

  // Returns the endpoint that last processed the longest recorded prefix of
  // `chain`, or nullptr. Valid until the next Record().
  const EndpointId* Find(const PrefixChain& chain) const;
  // Records that `endpoint` processes the prompt of `chain`.
  void Record(const PrefixChain& chain, const EndpointId& endpoint);

  std::size_t size() const { return m_index.size(); }

 private:
  struct Item {
    std::uint64_t m_hash = 0;
    EndpointId m_endpoint;
  };

  std::size_t m_capacity;
  std::list<Item> m_items;  // Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Item>::iterator> m_index;
};

}  // namespace hickoryloft::routing

#endif  // SOURCE_ROUTING_PREFIX_TABLE_H_
