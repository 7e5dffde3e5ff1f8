#include "placement/engine_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hickoryloft::placement {

namespace {

// An order that got no answer is sent again after this long.
constexpr Duration kResendPause = milliseconds(300);
// After a failure or a refusal an engine gets no orders for this long.
constexpr Duration kFailurePause = seconds(1);
constexpr Duration kRefusalPause = seconds(5);
// An engine that carries out an order of an earlier giver is asked again after
// this long.
constexpr Duration kBusyPause = milliseconds(400);
// An accepted order whose effect has not shown after the time of its load and
// this long is looked up in the engine's report.
constexpr Duration kEffectSlack = seconds(2);
// An accepted adapter is there after this long, unless very many are on their
// way; an endpoint that lacks it proves that it did not run the request.
constexpr Duration kAdapterLoad = milliseconds(15);
// Seconds that unloading an idle model takes, about.
constexpr double kUnloadSeconds = 0.2;
// Seconds of load time that a full engine is worth.
constexpr double kLoadWeight = 0.5;
// Seconds of load time that a lost request a second is worth: what the model
// costs to load again.
constexpr double kLostRateWeight = 1.0;
// Until an engine with an order under way can take the next one, and until a
// model in use falls idle, about.
constexpr double kOccupiedSeconds = 0.6;
constexpr double kInUseSeconds = 2.0;
// Loads from the weight store that it serves at full speed.
constexpr int kStoreLoadsAtOnce = 2;
// Part of an engine's slots that one model's requests should fill.
constexpr double kTargetFill = 0.6;
// Loads from the weight store that may be begun at once after a pause.
constexpr double kStoreBurst = 3;

Duration LoadTime(const fleet::EngineSpec& spec,
                  const ModelId& model,
                  fleet::WeightTier tier) {
  const fleet::ModelSpec& weights = spec.m_models.at(model);
  switch (tier) {
    case fleet::WeightTier::kHostMemory:
      return weights.m_load_from_memory;
    case fleet::WeightTier::kDisk:
      return weights.m_load_from_disk;
    case fleet::WeightTier::kStore:
      return weights.m_load_from_store;
  }
  return weights.m_load_from_store;
}

}  // namespace

EnginePlanner::EnginePlanner(ServiceId service)
    : m_service(std::move(service)) {}

void EnginePlanner::Restart() {
  m_ledgers.clear();
  m_recent_models.clear();
  m_store_tokens = 0;
}

ModelDemand::Key EnginePlanner::KeyOf(const ModelId& model) const {
  return {m_service, model, AdapterId()};
}

bool EnginePlanner::Usable(const fleet::EndpointEntry& entry) const {
  return entry.m_service == m_service &&
         entry.m_state == fleet::EndpointState::kReady && !entry.m_remaining;
}

PlannedActions EnginePlanner::Plan(const PlanningView& view,
                                   MonotonicTime now) {
  PlannedActions actions;
  m_deferred.clear();
  std::erase_if(m_recent_models, [&](const auto& known) {
    return now - known.second.second > kRegistrationLag;
  });
  FollowEntries(view, now);
  for (auto& [id, ledger] : m_ledgers) {
    if (ledger.m_open) {
      FollowOpenOrder(view.m_entries.at(id), ledger, now, actions);
    }
  }
  std::vector<ModelDemand::Want> wants = view.m_demand.Waiting();
  std::erase_if(wants, [&](const ModelDemand::Want& want) {
    return want.m_key.m_service != m_service ||
           !view.m_spec.m_models.contains(want.m_key.m_model);
  });
  DropUnwantedTargets(wants);
  CountModels(view, wants);
  std::stable_sort(wants.begin(), wants.end(),
                   [](const auto& left, const auto& right) {
                     return left.m_waiting > right.m_waiting;
                   });
  for (const ModelDemand::Want& want : wants) {
    PlaceModel(view, want, now, actions);
    if (!want.m_key.m_adapter.empty()) {
      PlaceAdapter(view, want, now, actions);
    }
  }
  return actions;
}

void EnginePlanner::CountModels(const PlanningView& view,
                                const std::vector<ModelDemand::Want>& wants) {
  m_present.clear();
  m_waiting_models.clear();
  for (const auto& [id, ledger] : m_ledgers) {
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (Usable(entry) && !view.m_avoided(id)) {
      for (const auto& [model, adapters] : entry.m_models) {
        ++m_present[model];
      }
    }
  }
  for (const ModelDemand::Want& want : wants) {
    m_waiting_models.insert(want.m_key.m_model);
  }
}

void EnginePlanner::DropUnwantedTargets(
    const std::vector<ModelDemand::Want>& wants) {
  std::set<ModelId> wanted;
  for (const ModelDemand::Want& want : wants) {
    wanted.insert(want.m_key.m_model);
  }
  for (auto& [id, ledger] : m_ledgers) {
    if (!ledger.m_open && !wanted.contains(ledger.m_target)) {
      ledger.m_target = ModelId();
    }
  }
}

void EnginePlanner::FollowEntries(const PlanningView& view,
                                  MonotonicTime now) {
  std::erase_if(m_ledgers, [&](const auto& known) {
    return !view.m_entries.contains(known.first);
  });
  for (const auto& [id, entry] : view.m_entries) {
    if (entry.m_service != m_service) {
      continue;
    }
    EngineLedger& ledger = m_ledgers[id];
    if (ledger.m_started_at_ms != entry.m_started_at_ms) {
      ledger = {.m_started_at_ms = entry.m_started_at_ms};
    }
    std::erase_if(ledger.m_adapters, [&](const auto& known) {
      return !entry.m_models.contains(known.first);
    });
    for (const auto& [model, adapters] : entry.m_models) {
      for (const AdapterId& adapter : adapters) {
        ledger.m_adapters[model].try_emplace(adapter, now);
      }
    }
  }
}

void EnginePlanner::FollowOpenOrder(const fleet::EndpointEntry& entry,
                                    EngineLedger& ledger,
                                    MonotonicTime now,
                                    PlannedActions& actions) {
  OpenOrder& open = *ledger.m_open;
  if (open.m_phase == OrderPhase::kUnanswered) {
    if (now - open.m_since >= kResendPause) {
      open.m_phase = OrderPhase::kSending;
      open.m_since = now;
      open.m_resent = true;
      actions.m_orders.push_back(
          {.m_engine = entry.m_id,
           .m_order = {.m_operation = open.m_operation,
                       .m_model = open.m_model,
                       .m_adapter = open.m_adapter,
                       .m_expected_orders = *ledger.m_accepted_orders},
           .m_reason = "again, the last one got no answer"});
    }
    return;
  }
  if (open.m_phase != OrderPhase::kRunning) {
    return;
  }
  if (!open.m_adapter.empty()) {
    if (now - open.m_since >= kAdapterLoad) {
      SettleAdapter(ledger, now);
      actions.m_settled = true;
    }
    return;
  }
  const bool present = entry.m_models.contains(open.m_model);
  if (present == (open.m_operation == fleet::OrderOperation::kLoad)) {
    if (ledger.m_target == open.m_model) {
      ledger.m_target = ModelId();
    }
    m_recent_models[{entry.m_id, open.m_model}] = {present, now};
    if (!present) {
      ledger.m_reported_models.erase(open.m_model);
    }
    actions.m_settled = true;
    ledger.m_open.reset();
    return;
  }
  if (now - open.m_since >= kEffectSlack && !ledger.m_report_asked) {
    ledger.m_report_asked = true;
    open.m_since = now;
    actions.m_reports.push_back(entry.m_id);
  }
}

void EnginePlanner::SettleAdapter(EngineLedger& ledger, MonotonicTime now) {
  const OpenOrder order = *ledger.m_open;
  ledger.m_open.reset();
  if (order.m_adapter.empty()) {
    return;
  }
  auto& held = ledger.m_adapters[order.m_model];
  if (order.m_operation == fleet::OrderOperation::kLoad) {
    held[order.m_adapter] = now;
  } else {
    held.erase(order.m_adapter);
  }
}

int EnginePlanner::RunningAt(const PlanningView& view,
                             const fleet::EndpointEntry& entry) {
  int running = 0;
  for (const auto& [held, adapters] : entry.m_models) {
    running += view.m_running(entry.m_id, held);
  }
  return running;
}

EnginePlanner::Replicas EnginePlanner::CountReplicas(
    const PlanningView& view,
    const ModelId& model) const {
  Replicas replicas;
  for (const auto& [id, ledger] : m_ledgers) {
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (!Usable(entry)) {
      continue;
    }
    const bool unloading =
        ledger.m_open && ledger.m_open->m_model == model &&
        ledger.m_open->m_operation == fleet::OrderOperation::kUnload;
    if (entry.m_models.contains(model) && !unloading &&
        !view.m_avoided(id)) {
      ++replicas.m_present;
      replicas.m_running += view.m_running(id, model);
      replicas.m_with_room +=
          RunningAt(view, entry) < view.m_spec.m_slots ? 1 : 0;
    } else if (ledger.m_target == model && !view.m_avoided(id)) {
      ++replicas.m_coming;
    }
  }
  return replicas;
}

int EnginePlanner::WantedReplicas(const PlanningView& view,
                                  const ModelDemand::Want& want,
                                  const Replicas& replicas) const {
  // An adapter's requests may wait for the adapter alone.
  const int waiting = view.m_demand.Waiting(KeyOf(want.m_key.m_model));
  const double in_use = replicas.m_running + waiting;
  const int by_use = static_cast<int>(
      std::ceil(in_use / (kTargetFill * view.m_spec.m_slots)));
  const bool saturated =
      waiting > 0 && replicas.m_present > 0 && replicas.m_with_room == 0;
  return std::max({1, by_use, saturated ? replicas.m_present + 1 : 0});
}

void EnginePlanner::PlaceModel(const PlanningView& view,
                               const ModelDemand::Want& want,
                               MonotonicTime now,
                               PlannedActions& actions) {
  const ModelId& model = want.m_key.m_model;
  const Replicas replicas = CountReplicas(view, model);
  // Continues where room is being made for the model.
  for (auto& [id, ledger] : m_ledgers) {
    if (ledger.m_target != model || ledger.m_open) {
      continue;
    }
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (!Usable(entry) || !CostAt(view, entry, ledger, model, now)) {
      ledger.m_target = ModelId();
    }
  }
  if (replicas.m_present + replicas.m_coming <
      WantedReplicas(view, want, replicas)) {
    UnplacedModel why_not{.m_model = model, .m_waiting = want.m_waiting};
    if (const auto choice = ChooseEngine(view, model, now, why_not)) {
      m_ledgers[choice->m_engine].m_target = model;
    } else {
      actions.m_unplaced.push_back(why_not);
    }
  }
  for (auto& [id, ledger] : m_ledgers) {
    if (ledger.m_target != model || ledger.m_open) {
      continue;
    }
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (!ledger.m_accepted_orders) {
      if (!ledger.m_report_asked && now >= ledger.m_paused_until) {
        ledger.m_report_asked = true;
        actions.m_reports.push_back(id);
      }
      continue;
    }
    const auto choice = CostAt(view, entry, ledger, model, now);
    if (!choice) {
      continue;
    }
    if (!choice->m_victims.empty()) {
      Give(view, id, ledger,
           {.m_operation = fleet::OrderOperation::kUnload,
            .m_model = choice->m_victims.front()},
           "makes way for " + model.value(), now, actions);
    } else if (choice->m_tier != fleet::WeightTier::kStore ||
               TakeStoreLoad(view.m_spec, now)) {
      Give(view, id, ledger,
           {.m_operation = fleet::OrderOperation::kLoad,
            .m_model = model,
            .m_tier = choice->m_tier},
           std::to_string(want.m_waiting) + " requests wait", now, actions);
    }
  }
}

std::optional<EnginePlanner::Choice> EnginePlanner::ChooseEngine(
    const PlanningView& view,
    const ModelId& model,
    MonotonicTime now,
    UnplacedModel& why_not) {
  std::optional<Choice> best;
  const EndpointId* near_engine = nullptr;
  double soonest_near = std::numeric_limits<double>::infinity();
  // An engine with a near copy that is busy now takes one model after another.
  const auto consider_near = [&](const EndpointId& id, double load_seconds,
                                 double wait_seconds) {
    const auto ahead = m_deferred.find(id);
    const double seconds =
        wait_seconds + load_seconds +
        (ahead == m_deferred.end() ? 0 : ahead->second) *
            (load_seconds + kOccupiedSeconds);
    if (seconds < soonest_near) {
      soonest_near = seconds;
      near_engine = &id;
    }
  };
  for (const auto& [id, ledger] : m_ledgers) {
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (!Usable(entry) || entry.m_models.contains(model)) {
      continue;
    }
    ++why_not.m_engines;
    if (now < ledger.m_paused_until || view.m_avoided(id)) {
      ++why_not.m_paused;
      continue;
    }
    const bool near = entry.TierOf(model) != fleet::WeightTier::kStore;
    const double load_seconds =
        ToSeconds(LoadTime(view.m_spec, model, entry.TierOf(model)));
    if (ledger.m_open || !ledger.m_target.empty()) {
      ++why_not.m_occupied;
      if (near) {
        consider_near(id, load_seconds, kOccupiedSeconds);
      }
      continue;
    }
    const auto choice = CostAt(view, entry, ledger, model, now);
    if (!choice) {
      ++why_not.m_all_in_use;
      if (near) {
        consider_near(id, load_seconds, kInUseSeconds);
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
  if (near_engine != nullptr && (!best || soonest_near < best->m_cost)) {
    ++m_deferred[*near_engine];
    return std::nullopt;
  }
  return StoreLoadsOpen() < kStoreLoadsAtOnce ? best : std::nullopt;
}

int EnginePlanner::StoreLoadsOpen() const {
  int open = 0;
  for (const auto& [id, ledger] : m_ledgers) {
    open += ledger.m_open && ledger.m_open->m_adapter.empty() &&
                    ledger.m_open->m_operation ==
                        fleet::OrderOperation::kLoad &&
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
  const fleet::ModelSpec& spec = view.m_spec.m_models.at(model);
  Choice choice{.m_engine = entry.m_id, .m_tier = entry.TierOf(model)};
  const double free =
      view.m_spec.m_megabytes - UsedMegabytes(entry, ledger, view.m_spec, now);
  double lost_rate = 0;
  if (free < spec.m_megabytes) {
    auto victims = ChooseVictims(view, entry, spec.m_megabytes - free, now,
                                 lost_rate);
    if (!victims) {
      return std::nullopt;
    }
    choice.m_victims = std::move(*victims);
  }
  const int running = RunningAt(view, entry);
  choice.m_cost =
      ToSeconds(LoadTime(view.m_spec, model, choice.m_tier)) +
      kUnloadSeconds * static_cast<double>(choice.m_victims.size()) +
      kLoadWeight * running / std::max(1, view.m_spec.m_slots) +
      kLostRateWeight * lost_rate;
  return choice;
}

std::optional<std::vector<ModelId>> EnginePlanner::ChooseVictims(
    const PlanningView& view,
    const fleet::EndpointEntry& entry,
    double needed,
    MonotonicTime now,
    double& lost_rate) const {
  struct Idle {
    ModelId m_model;
    double m_megabytes;
    double m_rate;
  };
  std::vector<Idle> idle;
  for (const auto& [model, adapters] : entry.m_models) {
    if (view.m_running(entry.m_id, model) > 0) {
      continue;
    }
    const auto spec = view.m_spec.m_models.find(model);
    const auto held = m_present.find(model);
    const int present = held == m_present.end() ? 1 : held->second;
    if (spec == view.m_spec.m_models.end() ||
        (present <= 1 && m_waiting_models.contains(model))) {
      continue;
    }
    idle.push_back({.m_model = model,
                    .m_megabytes = spec->second.m_megabytes,
                    .m_rate = view.m_demand.Rate(KeyOf(model), now) /
                              std::max(1, present)});
  }
  std::sort(idle.begin(), idle.end(), [](const Idle& left, const Idle& right) {
    return left.m_rate < right.m_rate;
  });
  std::vector<ModelId> victims;
  for (const Idle& one : idle) {
    if (needed <= 0) {
      break;
    }
    victims.push_back(one.m_model);
    needed -= one.m_megabytes;
    lost_rate += one.m_rate;
  }
  if (needed > 0) {
    return std::nullopt;
  }
  return victims;
}

void EnginePlanner::PlaceAdapter(const PlanningView& view,
                                 const ModelDemand::Want& want,
                                 MonotonicTime now,
                                 PlannedActions& actions) {
  const ModelId& model = want.m_key.m_model;
  const AdapterId& adapter = want.m_key.m_adapter;
  EngineLedger* best = nullptr;
  const fleet::EndpointEntry* best_entry = nullptr;
  for (auto& [id, ledger] : m_ledgers) {
    const fleet::EndpointEntry& entry = view.m_entries.at(id);
    if (!Usable(entry) || view.m_avoided(id) ||
        !entry.m_models.contains(model)) {
      continue;
    }
    const auto held = ledger.m_adapters.find(model);
    const bool present =
        held != ledger.m_adapters.end() && held->second.contains(adapter);
    const bool coming = ledger.m_open && ledger.m_open->m_model == model &&
                        ledger.m_open->m_adapter == adapter;
    if (coming ||
        (present && view.m_running(id, model) < view.m_spec.m_slots)) {
      return;
    }
    if (ledger.m_open || !ledger.m_target.empty() ||
        now < ledger.m_paused_until) {
      continue;
    }
    if (best == nullptr ||
        view.m_running(id, model) < view.m_running(best_entry->m_id, model)) {
      best = &ledger;
      best_entry = &entry;
    }
  }
  if (best == nullptr) {
    return;
  }
  if (!best->m_accepted_orders) {
    if (!std::exchange(best->m_report_asked, true)) {
      actions.m_reports.push_back(best_entry->m_id);
    }
    return;
  }
  if (best->AdapterCount() < view.m_spec.m_adapter_slots) {
    Give(view, best_entry->m_id, *best,
         {.m_operation = fleet::OrderOperation::kLoad,
          .m_model = model,
          .m_adapter = adapter},
         std::to_string(want.m_waiting) + " requests wait", now, actions);
    return;
  }
  // The adapter that has been unused for longest makes way.
  const ModelId* oldest_model = nullptr;
  const AdapterId* oldest = nullptr;
  MonotonicTime oldest_use = MonotonicTime::max();
  for (const auto& [held_model, adapters] : best->m_adapters) {
    for (const auto& [held, used_at] : adapters) {
      if (used_at < oldest_use) {
        oldest_use = used_at;
        oldest_model = &held_model;
        oldest = &held;
      }
    }
  }
  Give(view, best_entry->m_id, *best,
       {.m_operation = fleet::OrderOperation::kUnload,
        .m_model = *oldest_model,
        .m_adapter = *oldest},
       "makes way for adapter " + adapter.value(), now, actions);
}

bool EnginePlanner::TakeStoreLoad(const fleet::EngineSpec& spec,
                                  MonotonicTime now) {
  m_store_tokens = std::min(
      kStoreBurst, m_store_tokens + spec.m_loads_per_second *
                                        ToSeconds(now - m_store_tokens_at));
  m_store_tokens_at = now;
  if (m_store_tokens < 1) {
    return false;
  }
  m_store_tokens -= 1;
  return true;
}

void EnginePlanner::Give(const PlanningView& view,
                         const EndpointId& engine,
                         EngineLedger& ledger,
                         OpenOrder order,
                         std::string reason,
                         MonotonicTime now,
                         PlannedActions& actions) {
  order.m_phase = OrderPhase::kSending;
  order.m_since = now;
  actions.m_orders.push_back(
      {.m_engine = engine,
       .m_order = {.m_operation = order.m_operation,
                   .m_model = order.m_model,
                   .m_adapter = order.m_adapter,
                   .m_expected_orders = *ledger.m_accepted_orders},
       .m_reason = std::move(reason)});
  for (const auto& [model, adapters] : view.m_entries.at(engine).m_models) {
    actions.m_orders.back().m_holds += model.value() + " ";
  }
  ledger.m_open = std::move(order);
}

void EnginePlanner::TakeOutcome(const EndpointId& engine,
                                fleet::OrderOutcome outcome,
                                MonotonicTime now) {
  const auto known = m_ledgers.find(engine);
  if (known == m_ledgers.end() || !known->second.m_open) {
    return;
  }
  EngineLedger& ledger = known->second;
  OpenOrder& open = *ledger.m_open;
  open.m_since = now;
  switch (outcome) {
    case fleet::OrderOutcome::kAccepted:
      open.m_phase = OrderPhase::kRunning;
      ++*ledger.m_accepted_orders;
      break;
    case fleet::OrderOutcome::kAlreadyHolds:
      // An adapter that no request uses is unloaded at once, which counts as
      // an accepted order.
      ledger.m_target = ModelId();
      if (open.m_operation == fleet::OrderOperation::kUnload) {
        ++*ledger.m_accepted_orders;
      }
      SettleAdapter(ledger, now);
      break;
    case fleet::OrderOutcome::kConflict:
      // Either an unanswered copy was accepted, or the number is wrong.
      open.m_phase = OrderPhase::kRunning;
      open.m_since = now - kEffectSlack;
      ledger.m_accepted_orders.reset();
      break;
    case fleet::OrderOutcome::kRefused:
      ledger.m_open.reset();
      ledger.m_target = ModelId();
      ledger.m_accepted_orders.reset();
      ledger.m_paused_until = now + kRefusalPause;
      break;
    case fleet::OrderOutcome::kUnreachable:
      if (open.m_resent) {
        open.m_phase = OrderPhase::kUnanswered;
      } else {
        ledger.m_open.reset();
        ledger.m_target = ModelId();
      }
      ledger.m_paused_until = now + kFailurePause;
      break;
    case fleet::OrderOutcome::kUnknown:
      open.m_phase = OrderPhase::kUnanswered;
      break;
  }
}

void EnginePlanner::TakeReport(const EndpointId& engine,
                               const Result<fleet::EngineReport>& report,
                               MonotonicTime now) {
  const auto known = m_ledgers.find(engine);
  if (known == m_ledgers.end()) {
    return;
  }
  EngineLedger& ledger = known->second;
  ledger.m_report_asked = false;
  if (!report.ok()) {
    ledger.m_paused_until = now + kFailurePause;
    if (!ledger.m_open) {
      ledger.m_target = ModelId();
    }
    return;
  }
  const fleet::EngineReport& facts = report.value();
  ledger.m_accepted_orders = facts.m_accepted_orders;
  ledger.m_reported_at = now;
  ledger.m_reported_models.clear();
  for (const auto& [model, adapters] : facts.m_models) {
    ledger.m_reported_models.insert(model);
    auto& held = ledger.m_adapters[model];
    std::erase_if(held, [&](const auto& one) {
      return !adapters.contains(one.first);
    });
    for (const AdapterId& adapter : adapters) {
      held.try_emplace(adapter, now);
    }
  }
  if (!ledger.m_open && facts.m_busy) {
    // An order of an earlier giver is still being carried out; what it will
    // add is not listed yet.
    ledger.m_accepted_orders.reset();
    ledger.m_paused_until = now + kBusyPause;
    return;
  }
  if (!ledger.m_open || ledger.m_open->m_phase != OrderPhase::kRunning) {
    return;
  }
  if (!ledger.m_open->m_adapter.empty()) {
    ledger.m_open.reset();
  } else if (!facts.m_busy) {
    // The order has ended, or was never accepted; the registration shows what
    // the engine holds.
    ledger.m_open.reset();
    ledger.m_target = ModelId();
  }
}

std::map<EndpointId, std::map<ModelId, std::set<AdapterId>>>
EnginePlanner::Adapters() const {
  std::map<EndpointId, std::map<ModelId, std::set<AdapterId>>> present;
  for (const auto& [id, ledger] : m_ledgers) {
    for (const auto& [model, adapters] : ledger.m_adapters) {
      for (const auto& [adapter, used_at] : adapters) {
        present[id][model].insert(adapter);
      }
    }
  }
  return present;
}

std::vector<std::pair<EndpointId, ModelId>> EnginePlanner::Leaving() const {
  std::vector<std::pair<EndpointId, ModelId>> leaving;
  for (const auto& [id, ledger] : m_ledgers) {
    if (ledger.m_open && ledger.m_open->m_adapter.empty() &&
        ledger.m_open->m_operation == fleet::OrderOperation::kUnload) {
      leaving.emplace_back(id, ledger.m_open->m_model);
    }
  }
  return leaving;
}

std::map<std::pair<EndpointId, ModelId>, bool> EnginePlanner::RecentModels(
    MonotonicTime since) const {
  std::map<std::pair<EndpointId, ModelId>, bool> recent;
  for (const auto& [key, change] : m_recent_models) {
    if (change.second >= since) {
      recent[key] = change.first;
    }
  }
  return recent;
}

bool EnginePlanner::LoadsAdapter() const {
  return std::any_of(m_ledgers.begin(), m_ledgers.end(), [](const auto& entry) {
    const auto& open = entry.second.m_open;
    return open && !open->m_adapter.empty() &&
           open->m_phase == OrderPhase::kRunning;
  });
}

void EnginePlanner::TouchAdapter(const EndpointId& engine,
                                 const ModelId& model,
                                 const AdapterId& adapter,
                                 MonotonicTime now) {
  const auto ledger = m_ledgers.find(engine);
  if (ledger == m_ledgers.end()) {
    return;
  }
  const auto held = ledger->second.m_adapters.find(model);
  if (held != ledger->second.m_adapters.end() &&
      held->second.contains(adapter)) {
    held->second[adapter] = now;
  }
}

}  // namespace hickoryloft::placement
