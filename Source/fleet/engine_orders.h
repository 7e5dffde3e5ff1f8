// Load and unload orders to engines, and the reports of engines.

#ifndef SOURCE_FLEET_ENGINE_ORDERS_H_
#define SOURCE_FLEET_ENGINE_ORDERS_H_

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace hickoryloft::fleet {

enum class OrderOperation { kLoad, kUnload };

// An order to an engine. The engine executes it only if it has accepted exactly
// `m_expected_orders` orders since its start, so a repeated or late copy has no
// effect.
struct EngineOrder {
  OrderOperation m_operation = OrderOperation::kLoad;
  ModelId m_model;
  AdapterId m_adapter;  // Empty: the model itself.
  std::int64_t m_expected_orders = 0;
  HostId m_leader;
  FencingNumber m_fence = 0;
};

enum class OrderOutcome {
  kAccepted,     // The engine is executing it.
  kAlreadyDone,  // The engine already has the requested state.
  kConflict,     // Another order is in progress, or the count differs.
  kRefused,      // The engine rejected it.
  kUnreachable,  // It was not sent.
  kUnknown,      // It may be executed, possibly later.
};

struct EngineReport {
  std::int64_t m_accepted_orders = 0;
  bool m_busy = false;
  std::unordered_map<ModelId, std::unordered_set<AdapterId>> m_models;
  std::vector<std::pair<ModelId, AdapterId>> m_arriving_adapters;
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_ENGINE_ORDERS_H_
