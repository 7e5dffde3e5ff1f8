// Which models should be loaded before anybody waits for them.

#ifndef SOURCE_PLACEMENT_RESIDENCY_H_
#define SOURCE_PLACEMENT_RESIDENCY_H_

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "fleet/configuration.h"
#include "fleet/endpoint_entry.h"

namespace hickoryloft::placement {

// An engine that could carry out an order now.
struct IdleEngine {
  const fleet::EndpointEntry* m_entry = nullptr;
  double m_free_megabytes = 0;
  // Models that are not in use there.
  std::vector<ModelId> m_idle_models;
  // Requests a second for adapters of its models: these wait while the engine
  // loads from the weight store.
  double m_adapter_rate = 0;
};

// A model's standing over all engines.
struct ModelStanding {
  int m_present = 0;    // Engines that hold it.
  int m_coming = 0;     // Engines that are about to.
  double m_use = 0;     // Requests in progress, the most of late.
  double m_rate = 0;    // Requests a second.
  bool m_near = false;  // Some usable engine has a near copy.
};

struct ResidencyView {
  const fleet::EngineSpec& m_spec;
  std::vector<IdleEngine> m_idle;
  std::unordered_map<ModelId, ModelStanding> m_models;  // All of m_spec.
  int m_store_loads_left = 0;  // Loads from the weight store to begin at most.
};

struct ResidencyMove {
  EndpointId m_engine;
  ModelId m_model;
  std::vector<ModelId> m_victims;  // To be unloaded first.
};

// A strategy. Not thread-safe.
class ResidencyPolicy {
 public:
  virtual ~ResidencyPolicy() = default;

  // Returns moves that no request in progress pays for, one an engine at most.
  virtual std::vector<ResidencyMove> Propose(ResidencyView view) = 0;
};

// The baseline: models are loaded when a request waits for them, not sooner.
class DemandOnlyResidency : public ResidencyPolicy {
 public:
  std::vector<ResidencyMove> Propose(ResidencyView /*view*/) override {
    return {};
  }
};

// Keeps free memory filled: first with models that lie near, which costs an
// engine less than a second, then from the weight store. Copies beyond what a
// model's use needs make way for models that no engine holds; nothing else
// does.
class FullResidency : public ResidencyPolicy {
 public:
  std::vector<ResidencyMove> Propose(ResidencyView view) override;

  // Part of a model's places that its use may fill before it gets another
  // copy.
  static constexpr double kGrowFill = 0.6;
  // A copy is beyond need if the others would be filled less than this. Half of
  // kGrowFill, so that copies do not come and go.
  static constexpr double kShrinkFill = 0.3;
  // Models asked for this often a second keep two copies, since one engine may
  // fail.
  static constexpr double kTwoCopiesRate = 1.0;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_RESIDENCY_H_
