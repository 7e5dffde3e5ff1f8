// The weight store's slots of one service, shared by all placement shards
// through compare-and-swap on one key.

#ifndef SOURCE_PLACEMENT_STORE_RECORD_H_
#define SOURCE_PLACEMENT_STORE_RECORD_H_

#include <map>
#include <string>

#include "base/ids.h"

namespace hickoryloft::placement {

// One slot: the right to one load from the weight store at full speed.
struct StoreSlot {
  std::string m_scope;
  FencingNumber m_fence = 0;

  friend bool operator==(const StoreSlot&, const StoreSlot&) = default;
};

// Value type; not thread-safe.
struct StoreRecord {
  std::map<std::string, StoreSlot> m_slots;  // By replica.

  std::string ToJson() const;
  // Returns the record in `text`; an empty text has no slots. Throws
  // Error(kProtocol) if it is not a record.
  static StoreRecord FromJson(const std::string& text);

  friend bool operator==(const StoreRecord&, const StoreRecord&) = default;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_STORE_RECORD_H_
