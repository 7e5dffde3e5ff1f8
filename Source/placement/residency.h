// Which models are preloaded, that is loaded before any request waits for them.

#ifndef SOURCE_PLACEMENT_RESIDENCY_H_
#define SOURCE_PLACEMENT_RESIDENCY_H_

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "fleet/configuration.h"
#include "fleet/endpoint_entry.h"

namespace hickoryloft::placement {

// A model that an engine holds and that is not in use there.
struct IdleModel {
  ModelId m_model;
  double m_megabytes = 0;
  bool m_configured = true;  // False: it has left the configuration.
};

// An engine that can accept an order now.
struct IdleEngine {
  const fleet::EndpointEntry* m_entry = nullptr;
  double m_free_megabytes = 0;
  std::vector<IdleModel> m_idle_models;  // In the order of their eviction.
  // Requests per second for the engine's models that have adapters: adapter
  // loads wait while the engine loads from the weight store.
  double m_adapter_rate = 0;
};

// The state of one model over all engines.
struct ModelStatus {
  int m_present = 0;      // Engines that hold it.
  int m_pending = 0;      // Engines that are about to hold it.
  double m_use = 0;       // Recent maximum of requests in progress.
  double m_rate = 0;      // Requests per second.
  bool m_cached = false;  // In a usable engine's host memory or on its disk.
};

struct ResidencyView {
  const fleet::EngineSpec& m_spec;
  std::vector<IdleEngine> m_idle;
  std::unordered_map<ModelId, ModelStatus> m_models;  // All models of m_spec.
  int m_store_loads_left = 0;  // Maximum new loads from the weight store.
};

struct PreloadProposal {
  EndpointId m_engine;
  ModelId m_model;
  std::vector<ModelId> m_victims;  // To be evicted first.
};

// Decides which models are preloaded. Not thread-safe.
class ResidencyPolicy {
 public:
  virtual ~ResidencyPolicy() = default;

  // Returns preloads that do not delay requests in progress, at most one per
  // engine.
  virtual std::vector<PreloadProposal> Propose(ResidencyView view) = 0;
};

// The baseline: nothing is preloaded.
class DemandOnlyResidency : public ResidencyPolicy {
 public:
  std::vector<PreloadProposal> Propose(ResidencyView /*view*/) override {
    return {};
  }
};

// Keeps free memory filled: first with models that are cached in the engine's
// host memory or on its disk, which takes less than a second, then from the
// weight store. Only replicas beyond what a model's use needs are evicted for
// that.
class FullResidency : public ResidencyPolicy {
 public:
  std::vector<PreloadProposal> Propose(ResidencyView view) override;

  // Share of the slots of a model's replicas that its use may fill before the
  // model gets another replica.
  static constexpr double kGrowFill = 0.6;
  // A replica may be evicted if the use would fill less than this share of the
  // slots of the others. Half of kGrowFill, so that replicas are not loaded and
  // evicted in turn.
  static constexpr double kShrinkFill = 0.3;
  // Request rate per second from which a model keeps two replicas, since one
  // engine may fail.
  static constexpr double kTwoReplicasRate = 1.0;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_RESIDENCY_H_
