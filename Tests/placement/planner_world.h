// Simulated engines that are driven by a planner. Like the platform's, they
// count orders, reject a wrong count, and may execute an order late without
// answering.

#ifndef TESTS_PLACEMENT_PLANNER_WORLD_H_
#define TESTS_PLACEMENT_PLANNER_WORLD_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "placement/engine_planner.h"

namespace hickoryloft::placement {

using fleet::OrderOperation;
using fleet::OrderOutcome;

inline const ServiceId kService("llm");
constexpr double kEngineMegabytes = 200000;

inline ModelId Model(int i) {
  return ModelId("m" + std::to_string(i));
}
inline EndpointId Engine(int i) {
  return EndpointId("e" + std::to_string(i));
}

// Not thread-safe.
class PlannerWorld {
 public:
  PlannerWorld(int engines,
               int models,
               std::unique_ptr<ResidencyPolicy> residency =
                   std::make_unique<DemandOnlyResidency>())
      : m_planner(kService, std::move(residency)) {
    m_spec = {.m_slots = 32,
              .m_megabytes = kEngineMegabytes,
              .m_adapter_slots = 8,
              .m_loads_per_second = 6.8};
    for (int i = 0; i < models; ++i) {
      AddModel(i);
    }
    for (int i = 0; i < engines; ++i) {
      m_engines[Engine(i)] = {};
      Publish(Engine(i));
    }
  }

  struct Running {
    fleet::EngineOrder m_order;
    MonotonicTime m_done_at;
  };
  struct FakeEngine {
    std::set<ModelId> m_models;
    std::set<ModelId> m_on_disk;
    std::set<std::pair<ModelId, AdapterId>> m_adapters;
    // Adapters in transfer from the weight store, with the time of completion.
    std::map<std::pair<ModelId, AdapterId>, MonotonicTime> m_arriving;
    std::int64_t m_accepted = 0;
    std::optional<Running> m_running;
  };

  // Change the configuration.
  void AddModel(int model) {
    m_spec.m_models[Model(model)] = {
        .m_megabytes = SizeOf(Model(model)),
        .m_load_from_store = seconds(6),
        .m_load_from_disk = milliseconds(800),
        .m_load_from_memory = milliseconds(500),
        .m_adapters = 20,
        .m_adapter_megabytes = AdapterSizeOf(Model(model))};
    ++m_configuration;
  }
  // Sets the sizes of a model and of its adapters, also in the configuration.
  void SetSizes(int model, double megabytes, double adapter_megabytes) {
    m_sizes[Model(model)] = {megabytes, adapter_megabytes};
    AddModel(model);
  }
  void RemoveModel(int model) {
    m_spec.m_models.erase(Model(model));
    ++m_configuration;
  }
  static double Megabytes(const ModelId& model) {
    return std::stoi(model.value().substr(1)) % 2 == 0 ? 72700.0 : 42700.0;
  }

  double SizeOf(const ModelId& model) const {
    const auto known = m_sizes.find(model);
    return known == m_sizes.end() ? Megabytes(model) : known->second.first;
  }
  double AdapterSizeOf(const ModelId& model) const {
    const auto known = m_sizes.find(model);
    return known == m_sizes.end() ? 66 : known->second.second;
  }

  void Hold(int engine, std::initializer_list<int> models) {
    for (const int model : models) {
      m_engines[Engine(engine)].m_models.insert(Model(model));
      m_engines[Engine(engine)].m_on_disk.insert(Model(model));
    }
    Publish(Engine(engine));
  }
  void KeepOnDisk(int engine, std::initializer_list<int> models) {
    for (const int model : models) {
      m_engines[Engine(engine)].m_on_disk.insert(Model(model));
    }
    Publish(Engine(engine));
  }

  void Publish(const EndpointId& id) {
    const FakeEngine& engine = m_engines[id];
    fleet::EndpointEntry entry{
        .m_id = id, .m_service = kService, .m_slots = 32};
    for (const ModelId& model : engine.m_models) {
      entry.m_models[model];
    }
    entry.m_on_disk = {engine.m_on_disk.begin(), engine.m_on_disk.end()};
    if (m_registration_lag > Duration(0)) {
      m_registrations.emplace_back(m_now + m_registration_lag, entry);
    } else {
      m_entries[id] = entry;
    }
  }

  void AddDemand(int model, int waiting, const std::string& adapter = "") {
    m_waiting_requests[{kService, Model(model), AdapterId(adapter)}] = waiting;
    if (!adapter.empty()) {
      m_waiting_requests[{kService, Model(model), AdapterId()}] = waiting;
    }
  }

  PlanningView View() {
    return {.m_entries = m_entries,
            .m_spec = m_spec,
            .m_configuration = m_configuration,
            .m_demand = m_demand,
            .m_running =
                [this](const EndpointId& engine, const ModelId& model) {
                  const auto found = m_running.find({engine, model});
                  return found == m_running.end() ? 0 : found->second;
                },
            .m_avoided = [](const EndpointId&) { return false; }};
  }

  PlannedActions Plan() {
    std::vector<ModelDemandEntry> demands;
    for (const auto& [key, waiting] : m_waiting_requests) {
      demands.push_back({.m_service = key.m_service,
                         .m_model = key.m_model,
                         .m_adapter = key.m_adapter,
                         .m_waiting = waiting});
    }
    for (const auto& [key, arrivals] : m_arrivals) {
      demands.push_back({.m_service = key.m_service,
                         .m_model = key.m_model,
                         .m_adapter = key.m_adapter,
                         .m_arrivals = arrivals});
    }
    m_demand.RecordReport(HostId("h"), demands, m_now);
    return m_planner.Plan(View(), m_now);
  }

  // Plans and lets the engines answer. The share `late_share` of the orders is
  // executed late and not answered.
  void Step(Duration step, double late_share, RandomEngine& random) {
    for (const auto& [id, engine] : m_engines) {
      m_snapshots[id] = Snapshot(id);
    }
    m_now += step;
    CompleteOrders();
    while (!m_registrations.empty() && m_registrations.front().first <= m_now) {
      const fleet::EndpointEntry& entry = m_registrations.front().second;
      m_entries[entry.m_id] = entry;
      m_registrations.pop_front();
    }
    std::uniform_real_distribution<double> draw(0, 1);
    while (!m_late_orders.empty() && m_late_orders.front().first <= m_now) {
      Accept(m_late_orders.front().second.m_engine,
             m_late_orders.front().second.m_order);
      m_late_orders.pop_front();
    }
    const PlannedActions actions = Plan();
    for (const EndpointId& id : actions.m_reports) {
      Report(id);
    }
    for (const PlannedOrder& order : actions.m_orders) {
      m_orders.push_back(order);
      if (draw(random) < late_share) {
        m_late_orders.emplace_back(m_now + seconds(2), order);
        RecordEvent(order.m_engine, "has not answered", order.m_order);
        m_planner.HandleOutcome(order.m_engine, OrderOutcome::kUnknown, m_now);
      } else {
        m_planner.HandleOutcome(order.m_engine,
                                Accept(order.m_engine, order.m_order), m_now);
      }
    }
  }

  void Report(const EndpointId& id) {
    m_planner.HandleReport(
        id, m_outdated_reports ? m_snapshots[id] : Snapshot(id), m_now);
  }

  fleet::EngineReport Snapshot(const EndpointId& id) const {
    const FakeEngine& engine = m_engines.at(id);
    fleet::EngineReport report{.m_accepted_orders = engine.m_accepted,
                               .m_busy = engine.m_running.has_value()};
    for (const ModelId& model : engine.m_models) {
      report.m_models[model];
    }
    for (const auto& [model, adapter] : engine.m_adapters) {
      report.m_models[model].insert(adapter);
    }
    for (const auto& [adapter, at] : engine.m_arriving) {
      report.m_arriving_adapters.push_back(adapter);
    }
    return report;
  }

  // Records the last events at engines for a failure's message.
  void RecordEvent(const EndpointId& id,
                   const std::string& what,
                   const fleet::EngineOrder& order) {
    const FakeEngine& engine = m_engines.at(id);
    std::string holds;
    for (const ModelId& model : engine.m_models) {
      holds += " " + model.value();
    }
    m_events.push_back(
        std::to_string(ToMillis(m_now.time_since_epoch()).count()) + " " +
        id.value() + " " + what + " " +
        (order.m_operation == OrderOperation::kLoad ? "load " : "unload ") +
        order.m_model.value() + " " + order.m_adapter.value() + " expected " +
        std::to_string(order.m_expected_orders) + " accepted " +
        std::to_string(engine.m_accepted) + " holds" + holds);
    if (m_events.size() > 40) {
      m_events.pop_front();
    }
  }

  OrderOutcome Accept(const EndpointId& id, const fleet::EngineOrder& order) {
    const OrderOutcome outcome = Decide(id, order);
    RecordEvent(id, outcome == OrderOutcome::kAccepted ? "accepts" : "rejects",
                order);
    m_conflicts += outcome == OrderOutcome::kConflict ? 1 : 0;
    return outcome;
  }

  OrderOutcome Decide(const EndpointId& id, const fleet::EngineOrder& order) {
    FakeEngine& engine = m_engines[id];
    if (engine.m_running || order.m_expected_orders != engine.m_accepted) {
      return OrderOutcome::kConflict;
    }
    const bool load = order.m_operation == OrderOperation::kLoad;
    const bool held = engine.m_models.contains(order.m_model);
    if (order.m_adapter.empty() && held == load) {
      return OrderOutcome::kAlreadyDone;
    }
    if (!order.m_adapter.empty() && load && !held) {
      return OrderOutcome::kRefused;
    }
    ++engine.m_accepted;
    if (!order.m_adapter.empty()) {
      if (order.m_operation == OrderOperation::kLoad) {
        engine.m_arriving[{order.m_model, order.m_adapter}] =
            m_now + m_adapter_load;
      } else if (engine.m_arriving.contains({order.m_model, order.m_adapter})) {
        --engine.m_accepted;
        return OrderOutcome::kAlreadyDone;
      } else {
        engine.m_adapters.erase({order.m_model, order.m_adapter});
      }
      m_max_adapters = std::max(
          m_max_adapters, engine.m_adapters.size() + engine.m_arriving.size());
      CheckMemory(id);
      return OrderOutcome::kAccepted;
    }
    const bool cached = engine.m_on_disk.contains(order.m_model);
    m_store_loads +=
        order.m_operation == OrderOperation::kLoad && !cached ? 1 : 0;
    engine.m_running = Running{
        .m_order = order,
        .m_done_at = m_now + (order.m_operation == OrderOperation::kUnload
                                  ? Duration(milliseconds(200))
                              : cached ? Duration(milliseconds(800))
                                       : StoreLoadTime())};
    CheckMemory(id);
    return OrderOutcome::kAccepted;
  }

  // Concurrent loads beyond m_store_concurrency share the store's throughput.
  Duration StoreLoadTime() const {
    int at_once = 1;
    for (const auto& [id, engine] : m_engines) {
      at_once +=
          engine.m_running &&
                  engine.m_running->m_order.m_operation ==
                      OrderOperation::kLoad &&
                  !engine.m_on_disk.contains(engine.m_running->m_order.m_model)
              ? 1
              : 0;
    }
    return FromSeconds(6 * std::max(1.0, at_once / m_store_concurrency));
  }

  void CompleteOrders() {
    for (auto& [id, engine] : m_engines) {
      std::erase_if(engine.m_arriving, [&, &engine = engine](const auto& one) {
        if (one.second > m_now) {
          return false;
        }
        engine.m_adapters.insert(one.first);
        return true;
      });
      if (!engine.m_running || engine.m_running->m_done_at > m_now) {
        continue;
      }
      const fleet::EngineOrder order = engine.m_running->m_order;
      engine.m_running.reset();
      if (order.m_operation == OrderOperation::kLoad) {
        engine.m_models.insert(order.m_model);
        engine.m_on_disk.insert(order.m_model);
      } else {
        engine.m_models.erase(order.m_model);
        std::erase_if(engine.m_adapters, [&](const auto& held) {
          return held.first == order.m_model;
        });
        std::erase_if(engine.m_arriving, [&](const auto& one) {
          return one.first.first == order.m_model;
        });
      }
      Publish(id);
    }
  }

  void CheckMemory(const EndpointId& id) {
    const FakeEngine& engine = m_engines[id];
    std::set<ModelId> models = engine.m_models;
    if (engine.m_running &&
        engine.m_running->m_order.m_operation == OrderOperation::kLoad) {
      models.insert(engine.m_running->m_order.m_model);
    }
    double used = 0;
    for (const ModelId& model : models) {
      used += SizeOf(model);
    }
    for (const auto& [model, adapter] : engine.m_adapters) {
      used += AdapterSizeOf(model);
    }
    for (const auto& [key, at] : engine.m_arriving) {
      used += AdapterSizeOf(key.first);
    }
    m_max_used = std::max(m_max_used, used);
  }

  MonotonicTime m_now{seconds(100)};
  // Sizes of models and of their adapters that differ from the usual ones.
  std::map<ModelId, std::pair<double, double>> m_sizes;
  fleet::EngineSpec m_spec;
  std::int64_t m_configuration = 0;
  std::map<EndpointId, fleet::EndpointEntry> m_entries;
  ModelDemand m_demand;
  EnginePlanner m_planner;
  std::map<EndpointId, FakeEngine> m_engines;
  // Delay from a change at an engine until the planner sees its registration.
  Duration m_registration_lag{};
  std::deque<std::pair<MonotonicTime, fleet::EndpointEntry>> m_registrations;
  Duration m_adapter_load{};
  // Reports show the engine's state of the previous step.
  bool m_outdated_reports = false;
  std::map<EndpointId, fleet::EngineReport> m_snapshots;
  std::map<ModelDemand::Key, int> m_waiting_requests;
  std::map<ModelDemand::Key, double> m_arrivals;  // Per plan.
  std::map<std::pair<EndpointId, ModelId>, int> m_running;
  std::vector<PlannedOrder> m_orders;
  std::deque<std::pair<MonotonicTime, PlannedOrder>> m_late_orders;
  std::deque<std::string> m_events;
  double m_store_concurrency = 1000;  // Loads served at full speed.
  int m_store_loads = 0;
  std::size_t m_conflicts = 0;
  double m_max_used = 0;
  std::size_t m_max_adapters = 0;
};

}  // namespace hickoryloft::placement

#endif  // TESTS_PLACEMENT_PLANNER_WORLD_H_
