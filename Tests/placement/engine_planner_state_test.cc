#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Tests/placement/planner_world.h"

using namespace hickoryloft;
using namespace hickoryloft::placement;

TEST_CASE("Orders never exceed an engine's memory or its adapter slots") {
  CHECK(rc::check(
      "with unanswered and late orders and changes of the leader", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto late = *rc::gen::element(0.0, 0.2, 0.6);
        RandomEngine random(seed);
        std::unique_ptr<ResidencyPolicy> residency =
            std::make_unique<DemandOnlyResidency>();
        if (*rc::gen::arbitrary<bool>()) {
          residency = std::make_unique<FullResidency>();
        }
        PlannerWorld world(3, 14, std::move(residency));
        for (int engine = 0; engine < 3; ++engine) {
          world.Hold(engine, {2 * engine, 2 * engine + 1});
        }
        world.m_registration_lag =
            *rc::gen::element(seconds(0), seconds(1), seconds(6));
        world.m_adapter_load =
            *rc::gen::element(milliseconds(0), milliseconds(500));
        world.m_outdated_reports = *rc::gen::arbitrary<bool>();
        std::uniform_int_distribution<int> model(0, 13);
        std::uniform_int_distribution<int> engine(0, 2);
        std::uniform_int_distribution<int> percent(0, 99);
        for (int step = 0; step < 300; ++step) {
          if (percent(random) < 20) {
            world.AddDemand(model(random), 1);
          }
          if (percent(random) < 20) {
            world.AddDemand(model(random), 1,
                            "a" + std::to_string(model(random)));
          }
          if (percent(random) < 15) {
            world.m_waiting_requests.clear();
          }
          if (percent(random) < 10) {
            world.m_running[{Engine(engine(random)), Model(model(random))}] =
                percent(random) % 3;
          }
          if (percent(random) < 2) {
            // A new leader sends its first order after the leader change; late
            // copies of old orders carry old numbers.
            world.m_planner.Reset();
          }
          world.Step(milliseconds(100), late, random);
          if (world.m_max_used > kEngineMegabytes ||
              world.m_max_adapters > 8U) {
            for (const std::string& event : world.m_events) {
              RC_LOG() << event << "\n";
            }
          }
          RC_ASSERT(world.m_max_used <= kEngineMegabytes);
          RC_ASSERT(world.m_max_adapters <= 8U);
        }
      }));
}

// A placement leader ended with an exception when a model that it was about to
// preload left the configuration (LOST, issue 37).
TEST_CASE("Planning survives models that leave the configuration at any time") {
  CHECK(rc::check(
      "and removed models are neither loaded nor in the way of others", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto late = *rc::gen::element(0.0, 0.2, 0.6);
        RandomEngine random(seed);
        constexpr int kModels = 14;
        PlannerWorld world(3, kModels, std::make_unique<FullResidency>());
        for (int engine = 0; engine < 3; ++engine) {
          world.Hold(engine, {2 * engine, 2 * engine + 1});
          world.KeepOnDisk(engine, {8, 9, 10, 11, 12, 13});
        }
        world.m_registration_lag =
            *rc::gen::element(seconds(0), seconds(1), seconds(6));
        std::uniform_int_distribution<int> model(0, kModels - 1);
        std::uniform_int_distribution<int> engine(0, 2);
        std::uniform_int_distribution<int> percent(0, 99);
        for (int step = 0; step < 300; ++step) {
          const int changed = model(random);
          if (percent(random) < 15) {
            world.RemoveModel(changed);
          } else if (percent(random) < 25) {
            world.AddModel(changed);
          }
          if (percent(random) < 15) {
            world.AddDemand(model(random), 1);
          }
          if (percent(random) < 15) {
            world.AddDemand(model(random), 1, "a1");
          }
          if (percent(random) < 15) {
            world.m_waiting_requests.clear();
          }
          if (percent(random) < 20) {
            world.m_running[{Engine(engine(random)), Model(model(random))}] =
                percent(random) % 3;
          }
          if (percent(random) < 2) {
            world.m_planner.Reset();
          }
          const std::size_t orders = world.m_orders.size();
          world.Step(milliseconds(100), late, random);
          for (std::size_t at = orders; at < world.m_orders.size(); ++at) {
            const fleet::EngineOrder& order = world.m_orders[at].m_order;
            RC_ASSERT(order.m_operation == OrderOperation::kUnload ||
                      world.m_spec.m_models.contains(order.m_model));
          }
          if (world.m_max_used > kEngineMegabytes) {
            for (const std::string& event : world.m_events) {
              RC_LOG() << event << "\n";
            }
          }
          RC_ASSERT(world.m_max_used <= kEngineMegabytes);
        }
      }));
}
