// The slots that limit concurrent loads from the weight store for one service.
// All placement shards share them through compare-and-swap on one key.

#ifndef SOURCE_PLACEMENT_STORE_RECORD_H_
#define SOURCE_PLACEMENT_STORE_RECORD_H_

#include <map>
#include <string>

#include "base/ids.h"

namespace hickoryloft::placement {

// Permits one load from the weight store at full speed.
struct StoreSlot {
  std::string m_scope;
  FencingNumber m_fence = 0;

  friend bool operator==(const StoreSlot&, const StoreSlot&) = default;
};

// Value type; not thread-safe.
struct StoreRecord {
  std::map<std::string, StoreSlot> m_slots;  // By slot name.

  std::string ToJson() const;
  // Parses `text`; an empty text is a record without slots. Throws
  // Error(kProtocol) if the text is malformed.
  static StoreRecord FromJson(const std::string& text);

  friend bool operator==(const StoreRecord&, const StoreRecord&) = default;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_STORE_RECORD_H_
