// EnginePlanner: choice of the engine for a model and of the models to evict.

#include <algorithm>
#include <limits>
#include <tuple>

#include "placement/engine_planner.h"

namespace hickoryloft::placement {

namespace {

// Estimated seconds to unload an idle model.
constexpr double kUnloadSeconds = 0.2;
// Cost of a fully loaded engine, in seconds of load time.
constexpr double kLoadWeight = 0.5;
// Cost per request per second of an evicted model, in seconds of load time: it
// stands for the time to load the model again.
constexpr double kLostRateWeight = 1.0;
// Estimated seconds until an engine with an open order can accept the next one,
// and until a model in use becomes idle.
constexpr double kOccupiedSeconds = 0.6;
constexpr double kInUseSeconds = 2.0;
// Loads from the weight store that may start at once after an idle period.
constexpr double kStoreBurst = 3;

}  // namespace

Duration LoadTime(const fleet::ModelSpec& model, fleet::WeightTier tier) {
  switch (tier) {
    case fleet::WeightTier::kHostMemory:
      return model.m_load_from_memory;
    case fleet::WeightTier::kDisk:
      return model.m_load_from_disk;
    case fleet::WeightTier::kStore:
      return model.m_load_from_store;
  }
  return model.m_load_from_store;
}

std::optional<EnginePlanner::Choice> EnginePlanner::ChooseEngine(
    const PlanningView& view,
    const ModelId& model,
    const fleet::ModelSpec& spec,
    MonotonicTime now,
    UnplacedModel& unplaced) {
  std::optional<Choice> best;
  const EndpointId* cached_engine = nullptr;
  double soonest_cached = std::numeric_limits<double>::infinity();
  // A busy engine that has the model cached loads one model after another.
  const auto consider_cached = [&](const EndpointId& id, double load_seconds,
                                   double wait_seconds) {
    const auto ahead = m_deferred.find(id);
    const double seconds = wait_seconds + load_seconds +
                           (ahead == m_deferred.end() ? 0 : ahead->second) *
                               (load_seconds + kOccupiedSeconds);
    if (seconds < soonest_cached) {
      soonest_cached = seconds;
      cached_engine = &id;
    }
  };
  for (const auto& [id, ledger] : m_ledgers) {
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (!Usable(entry) || entry.m_models.contains(model) ||
        ledger.m_reported_models.contains(model)) {
      continue;
    }
    ++unplaced.m_engines;
    if (now < ledger.m_paused_until || view.m_avoided(id)) {
      ++unplaced.m_paused;
      continue;
    }
    const bool cached = entry.TierOf(model) != fleet::WeightTier::kStore;
    const double load_seconds = ToSeconds(LoadTime(spec, entry.TierOf(model)));
    if (ledger.Occupied()) {
      ++unplaced.m_occupied;
      if (cached) {
        consider_cached(id, load_seconds, kOccupiedSeconds);
      }
      continue;
    }
    const auto choice = CostAt(view, entry, ledger, model, now);
    if (!choice) {
      ++unplaced.m_all_in_use;
      if (cached) {
        consider_cached(id, load_seconds, kInUseSeconds);
      }
      continue;
    }
    if (!best || choice->m_cost < best->m_cost) {
      best = choice;
    }
  }
  if (best && best->m_tier != fleet::WeightTier::kStore) {
    return best;
  }
  if (cached_engine != nullptr && (!best || soonest_cached < best->m_cost)) {
    ++m_deferred[*cached_engine];
    return std::nullopt;
  }
  return StoreLoadsOpen() < m_store.limit() ? best : std::nullopt;
}

int EnginePlanner::StoreLoadsOpen() const {
  int open = 0;
  for (const auto& [id, ledger] : m_ledgers) {
    open +=
        ledger.m_open && ledger.m_open->m_adapter.empty() &&
                ledger.m_open->m_operation == fleet::OrderOperation::kLoad &&
                ledger.m_open->m_tier == fleet::WeightTier::kStore
            ? 1
            : 0;
  }
  return open;
}

std::optional<EnginePlanner::Choice> EnginePlanner::CostAt(
    const PlanningView& view,
    const fleet::EndpointEntry& entry,
    const EngineLedger& ledger,
    const ModelId& model,
    MonotonicTime now) const {
  const auto listed = view.m_spec.m_models.find(model);
  if (listed == view.m_spec.m_models.end()) {
    return std::nullopt;
  }
  const fleet::ModelSpec& spec = listed->second;
  Choice choice{.m_engine = entry.m_id, .m_tier = entry.TierOf(model)};
  const double free = view.m_spec.m_megabytes -
                      UsedMegabytes(entry, ledger, view.m_spec, m_sizes);
  double lost_rate = 0;
  if (free < spec.m_megabytes) {
    auto victims = ChooseVictims(view, entry, ledger, spec.m_megabytes - free,
                                 now, lost_rate);
    if (!victims) {
      return std::nullopt;
    }
    choice.m_victims = std::move(*victims);
  }
  const int running = RunningAt(view, entry);
  choice.m_cost =
      ToSeconds(LoadTime(spec, choice.m_tier)) +
      kUnloadSeconds * static_cast<double>(choice.m_victims.size()) +
      kLoadWeight * running / std::max(1, view.m_spec.m_slots) +
      kLostRateWeight * lost_rate;
  return choice;
}

std::optional<std::vector<ModelId>> EnginePlanner::ChooseVictims(
    const PlanningView& view,
    const fleet::EndpointEntry& entry,
    const EngineLedger& ledger,
    double needed,
    MonotonicTime now,
    double& lost_rate) const {
  struct Idle {
    ModelId m_model;
    double m_megabytes;
    bool m_configured;
    double m_rate;
  };
  std::vector<Idle> idle;
  for (const auto& [model, adapters] : entry.m_models) {
    if (view.m_running(entry.m_id, model) > 0 || !ledger.Holds(entry, model)) {
      continue;
    }
    const auto held = m_present.find(model);
    const int present = held == m_present.end() ? 1 : held->second;
    if (present <= 1 && m_waiting_models.contains(model)) {
      continue;
    }
    idle.push_back({.m_model = model,
                    .m_megabytes = m_sizes.MegabytesOf(model),
                    .m_configured = view.m_spec.m_models.contains(model),
                    .m_rate = view.m_demand.Rate(KeyOf(model), now) /
                              std::max(1, present)});
  }
  std::sort(idle.begin(), idle.end(), [](const Idle& left, const Idle& right) {
    return std::tie(left.m_configured, left.m_rate) <
           std::tie(right.m_configured, right.m_rate);
  });
  std::vector<ModelId> victims;
  for (const Idle& one : idle) {
    if (needed <= 0) {
      break;
    }
    victims.push_back(one.m_model);
    needed -= one.m_megabytes;
    lost_rate += one.m_configured ? one.m_rate : 0;
  }
  if (needed > 0) {
    return std::nullopt;
  }
  return victims;
}

void EnginePlanner::RefillStoreTokens(const fleet::EngineSpec& spec,
                                      MonotonicTime now) {
  m_store_tokens = std::min(
      kStoreBurst, m_store_tokens + spec.m_loads_per_second *
                                        ToSeconds(now - m_store_tokens_at));
  m_store_tokens_at = now;
}

bool EnginePlanner::AcquireStoreToken(const fleet::EngineSpec& spec,
                                      MonotonicTime now) {
  RefillStoreTokens(spec, now);
  if (m_store_tokens < 1) {
    return false;
  }
  m_store_tokens -= 1;
  return true;
}

}  // namespace hickoryloft::placement
