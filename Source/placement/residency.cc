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
class Proposals {
 public:
  explicit Proposals(ResidencyView& view) : m_view(view) {
    // Engines with the least free memory first: the fewest models fit there.
    std::sort(m_view.m_idle.begin(), m_view.m_idle.end(),
              [](const IdleEngine& left, const IdleEngine& right) {
                return std::tie(left.m_free_megabytes, left.m_entry->m_id) <
                       std::tie(right.m_free_megabytes, right.m_entry->m_id);
              });
  }

  void PlaceNearCopies() {
    for (IdleEngine& engine : m_view.m_idle) {
      const ModelId* best = nullptr;
      const auto consider = [&](const ModelId& model) {
        if (Wanted(model, *engine.m_entry) && Room(engine, model) &&
            (best == nullptr || Before(model, *best))) {
          best = &model;
        }
      };
      std::for_each(engine.m_entry->m_in_memory.begin(),
                    engine.m_entry->m_in_memory.end(), consider);
      std::for_each(engine.m_entry->m_on_disk.begin(),
                    engine.m_entry->m_on_disk.end(), consider);
      if (best != nullptr) {
        Move(engine, *best);
      }
    }
  }

  void PlaceFromStore() {
    std::vector<const ModelId*> models;
    for (const auto& [model, standing] : m_view.m_models) {
      if (Wanted(model)) {
        models.push_back(&model);
      }
    }
    std::sort(models.begin(), models.end(),
              [&](const ModelId* left, const ModelId* right) {
                // A cached model loads within a second once a request waits for
                // it.
                const bool left_near = m_view.m_models.at(*left).m_near;
                const bool right_near = m_view.m_models.at(*right).m_near;
                return left_near != right_near ? right_near
                                               : Before(*left, *right);
              });
    for (const ModelId* model : models) {
      if (m_view.m_store_loads_left <= 0) {
        return;
      }
      IdleEngine* best = nullptr;
      for (IdleEngine& engine : m_view.m_idle) {
        if (!m_moved.contains(engine.m_entry->m_id) &&
            !engine.m_entry->m_models.contains(*model) &&
            Room(engine, *model) &&
            (best == nullptr || engine.m_adapter_rate < best->m_adapter_rate)) {
          best = &engine;
        }
      }
      if (best != nullptr) {
        Move(*best, *model);
        --m_view.m_store_loads_left;
      }
    }
  }

  std::vector<ResidencyMove> Take() { return std::move(m_moves); }

 private:
  int Needed(const ModelStanding& standing, double fill) const {
    const int by_use = static_cast<int>(std::ceil(
        standing.m_use / (fill * std::max(1, m_view.m_spec.m_slots))));
    const int by_rate =
        standing.m_rate >= FullResidency::kTwoCopiesRate ? 2 : 1;
    return std::max(by_use, by_rate);
  }

  bool Wanted(const ModelId& model) const {
    const auto standing = m_view.m_models.find(model);
    return standing != m_view.m_models.end() &&
           standing->second.m_present + standing->second.m_coming <
               Needed(standing->second, FullResidency::kGrowFill);
  }
  bool Wanted(const ModelId& model, const fleet::EndpointEntry& entry) const {
    return !entry.m_models.contains(model) && Wanted(model);
  }

  // Models that no engine holds come first, then those with the highest request
  // rate, then large ones, which fit at fewer engines.
  bool Before(const ModelId& left, const ModelId& right) const {
    const auto rank = [&](const ModelId& model) {
      const ModelStanding& standing = m_view.m_models.at(model);
      return std::tuple(
          standing.m_present + standing.m_coming > 0, -standing.m_rate,
          -m_view.m_spec.m_models.at(model).m_megabytes, model.value());
    };
    return rank(left) < rank(right);
  }

  // Returns the surplus replicas at `engine` to evict so that `model` fits
  // (empty: it fits without), or nothing if it cannot fit.
  std::optional<std::vector<ModelId>> Room(const IdleEngine& engine,
                                           const ModelId& model) const {
    double lacking =
        m_view.m_spec.m_models.at(model).m_megabytes - engine.m_free_megabytes;
    std::vector<ModelId> victims;
    for (const ModelId& held : engine.m_idle_models) {
      if (lacking <= 0) {
        break;
      }
      const auto standing = m_view.m_models.find(held);
      const bool spare =
          standing != m_view.m_models.end() &&
          standing->second.m_present >
              Needed(standing->second, FullResidency::kShrinkFill);
      if (spare) {
        victims.push_back(held);
        lacking -= m_view.m_spec.m_models.at(held).m_megabytes;
      }
    }
    return lacking <= 0 ? std::optional(std::move(victims)) : std::nullopt;
  }

  void Move(const IdleEngine& engine, const ModelId& model) {
    const auto victims = Room(engine, model);
    for (const ModelId& victim : *victims) {
      --m_view.m_models.at(victim).m_present;
    }
    ++m_view.m_models.at(model).m_coming;
    m_moved.insert(engine.m_entry->m_id);
    m_moves.push_back({.m_engine = engine.m_entry->m_id,
                       .m_model = model,
                       .m_victims = *victims});
  }

  ResidencyView& m_view;
  std::unordered_set<EndpointId> m_moved;
  std::vector<ResidencyMove> m_moves;
};

}  // namespace

std::vector<ResidencyMove> FullResidency::Propose(ResidencyView view) {
  Proposals proposals(view);
  proposals.PlaceNearCopies();
  proposals.PlaceFromStore();
  return proposals.Take();
}

}  // namespace hickoryloft::placement
