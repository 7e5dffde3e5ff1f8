// Interface to model engines: orders to load and to unload an artifact, each
// with an order number and a fencing number, and inventory reports.

#ifndef SOURCE_ENDPOINT_ORDERS_H_
#define SOURCE_ENDPOINT_ORDERS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::endpoint {

// Network address of an endpoint.
struct EndpointAddress {
  EndpointId m_id;
  std::string m_address;  // An IP address.
  std::uint16_t m_port = 0;
};

// One version of a model or of an adapter of a model. An empty adapter denotes
// the base model.
struct Artifact {
  ModelId m_model;
  AdapterId m_adapter;
  std::string m_version;

  friend bool operator==(const Artifact&, const Artifact&) = default;
  friend bool operator<(const Artifact& left, const Artifact& right) {
    return std::tie(left.m_model, left.m_adapter, left.m_version) <
           std::tie(right.m_model, right.m_adapter, right.m_version);
  }
};

enum class OrderKind { kLoad, kUnload };

struct Order {
  OrderKind m_kind = OrderKind::kLoad;
  std::uint64_t m_number =
      0;  // Unique per endpoint; an engine executes each number once.
  // The lease under which the order is sent. Fencing numbers are compared
  // within one scope.
  std::string m_scope;
  FencingNumber m_fencing_number = 0;
  Artifact m_artifact;
  std::uint64_t m_bytes = 0;       // Size once loaded.
  std::uint64_t m_peak_bytes = 0;  // Largest size while loading.
};

enum class OrderOutcome { kAccepted, kFenced, kRefused };

struct OrderReply {
  OrderOutcome m_outcome = OrderOutcome::kRefused;
  std::string m_reason;
};

enum class ArtifactPhase { kLoading, kReady, kUnloading };

// Where an engine can load an artifact's checkpoint from, fastest first.
enum class CheckpointTier { kMemory, kDisk, kRemote };

struct InventoryItem {
  Artifact m_artifact;
  ArtifactPhase m_phase = ArtifactPhase::kLoading;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_order_number = 0;
};

struct CachedCheckpoint {
  Artifact m_artifact;
  CheckpointTier m_tier = CheckpointTier::kRemote;
};

// The state that an engine reports. It may be out of date on arrival.
struct InventoryReport {
  bool m_checks_fencing = false;
  bool m_leaving = false;
  std::uint64_t m_memory_bytes = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_running = 0;
  std::uint64_t m_last_order_number = 0;
  std::vector<InventoryItem> m_items;
  std::vector<CachedCheckpoint> m_cached;
};

// Sends orders to engines. Every method returns at once; the callback is called
// once, on the loop's thread. Failures: kUnavailable (the order was not
// executed), kOutcomeUnknown or kTimedOut (it may be executed), kProtocol. Use
// on the loop's thread only.
class OrderService {
 public:
  virtual ~OrderService() = default;

  virtual void Send(const EndpointAddress& endpoint,
                    const Order& order,
                    std::function<void(Result<OrderReply>)>) = 0;
  // Raises the lowest fencing number that the endpoint accepts in `scope`.
  // Fails with kForbidden if the endpoint does not check fencing numbers.
  virtual void RaiseFence(const EndpointAddress& endpoint,
                          const std::string& scope,
                          FencingNumber fencing_number,
                          std::function<void(Result<Done>)>) = 0;
  virtual void FetchInventory(const EndpointAddress& endpoint,
                              std::function<void(Result<InventoryReport>)>) = 0;
};

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_ORDERS_H_
