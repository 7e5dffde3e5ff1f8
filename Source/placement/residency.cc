#include "placement/residency.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>
#include <utility>

namespace hickoryloft::placement {

namespace {

// Builds one set of proposals and keeps the replica counts up to date with
// them.
class ProposalBuilder {
 public:
  explicit ProposalBuilder(ResidencyView& view) : m_view(view) {
    // Engines with the least free memory first: the fewest models fit there.
    std::sort(m_view.m_idle.begin(), m_view.m_idle.end(),
              [](const IdleEngine& left, const IdleEngine& right) {
                return std::tie(left.m_free_megabytes, left.m_entry->m_id) <
                       std::tie(right.m_free_megabytes, right.m_entry->m_id);
              });
  }

  void PlaceCachedModels() {
    for (IdleEngine& engine : m_view.m_idle) {
      const ModelId* best = nullptr;
      const auto consider = [&](const ModelId& model) {
        if (NeedsReplica(model, *engine.m_entry) &&
            FindEvictions(engine, model) &&
            (best == nullptr || Precedes(model, *best))) {
          best = &model;
        }
      };
      std::for_each(engine.m_entry->m_in_memory.begin(),
                    engine.m_entry->m_in_memory.end(), consider);
      std::for_each(engine.m_entry->m_on_disk.begin(),
                    engine.m_entry->m_on_disk.end(), consider);
      if (best != nullptr) {
        AddProposal(engine, *best);
      }
    }
  }

  void PlaceFromStore() {
    std::vector<const ModelId*> models;
    for (const auto& [model, status] : m_view.m_models) {
      if (NeedsReplica(model)) {
        models.push_back(&model);
      }
    }
    std::sort(models.begin(), models.end(),
              [&](const ModelId* left, const ModelId* right) {
                // A cached model loads within a second once a request waits for
                // it.
                const bool left_cached = m_view.m_models.at(*left).m_cached;
                const bool right_cached = m_view.m_models.at(*right).m_cached;
                return left_cached != right_cached ? right_cached
                                                   : Precedes(*left, *right);
              });
    for (const ModelId* model : models) {
      if (m_view.m_store_loads_left <= 0) {
        return;
      }
      IdleEngine* best = nullptr;
      for (IdleEngine& engine : m_view.m_idle) {
        if (!m_assigned.contains(engine.m_entry->m_id) &&
            !engine.m_entry->m_models.contains(*model) &&
            FindEvictions(engine, *model) &&
            (best == nullptr || engine.m_adapter_rate < best->m_adapter_rate)) {
          best = &engine;
        }
      }
      if (best != nullptr) {
        AddProposal(*best, *model);
        --m_view.m_store_loads_left;
      }
    }
  }

  std::vector<PreloadProposal> ReleaseProposals() {
    return std::move(m_proposals);
  }

 private:
  int RequiredReplicas(const ModelStatus& status, double fill) const {
    const int by_use = static_cast<int>(
        std::ceil(status.m_use / (fill * std::max(1, m_view.m_spec.m_slots))));
    const int by_rate =
        status.m_rate >= FullResidency::kTwoReplicasRate ? 2 : 1;
    return std::max(by_use, by_rate);
  }

  bool NeedsReplica(const ModelId& model) const {
    const auto status = m_view.m_models.find(model);
    return status != m_view.m_models.end() &&
           status->second.m_present + status->second.m_pending <
               RequiredReplicas(status->second, FullResidency::kGrowFill);
  }
  bool NeedsReplica(const ModelId& model,
                    const fleet::EndpointEntry& entry) const {
    return !entry.m_models.contains(model) && NeedsReplica(model);
  }

  // Models that no engine holds come first, then those with the highest request
  // rate, then large ones, which fit at fewer engines.
  bool Precedes(const ModelId& left, const ModelId& right) const {
    const auto rank = [&](const ModelId& model) {
      const ModelStatus& status = m_view.m_models.at(model);
      return std::tuple(status.m_present + status.m_pending > 0, -status.m_rate,
                        -m_view.m_spec.m_models.at(model).m_megabytes,
                        model.value());
    };
    return rank(left) < rank(right);
  }

  bool HasSpareReplica(const ModelId& model) const {
    const auto status = m_view.m_models.find(model);
    return status != m_view.m_models.end() &&
           status->second.m_present >
               RequiredReplicas(status->second, FullResidency::kShrinkFill);
  }

  // Returns the surplus replicas and removed models at `engine` to evict so
  // that `model` fits (empty: it fits without), or nothing if it cannot fit.
  std::optional<std::vector<ModelId>> FindEvictions(
      const IdleEngine& engine,
      const ModelId& model) const {
    double lacking =
        m_view.m_spec.m_models.at(model).m_megabytes - engine.m_free_megabytes;
    std::vector<ModelId> victims;
    for (const IdleModel& held : engine.m_idle_models) {
      if (lacking <= 0) {
        break;
      }
      if (!held.m_configured || HasSpareReplica(held.m_model)) {
        victims.push_back(held.m_model);
        lacking -= held.m_megabytes;
      }
    }
    return lacking <= 0 ? std::optional(std::move(victims)) : std::nullopt;
  }

  void AddProposal(const IdleEngine& engine, const ModelId& model) {
    const auto victims = FindEvictions(engine, model);
    if (!victims) {
      return;
    }
    for (const ModelId& victim : *victims) {
      const auto status = m_view.m_models.find(victim);
      if (status != m_view.m_models.end()) {
        --status->second.m_present;
      }
    }
    ++m_view.m_models.at(model).m_pending;
    m_assigned.insert(engine.m_entry->m_id);
    m_proposals.push_back({.m_engine = engine.m_entry->m_id,
                           .m_model = model,
                           .m_victims = *victims});
  }

  ResidencyView& m_view;
  std::unordered_set<EndpointId> m_assigned;
  std::vector<PreloadProposal> m_proposals;
};

}  // namespace

std::vector<PreloadProposal> FullResidency::Propose(ResidencyView view) {
  ProposalBuilder builder(view);
  builder.PlaceCachedModels();
  builder.PlaceFromStore();
  return builder.ReleaseProposals();
}

}  // namespace hickoryloft::placement
