// Placement of adapters: placement/engine_adapters.cc.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>

#include "Tests/placement/planner_world.h"

using namespace hickoryloft;
using namespace hickoryloft::placement;

namespace {

constexpr double kAdapterMegabytes = 66;

// Engines of which each holds the three models m0, m1 and m2, which leave
// `left` megabytes free.
struct FullEngines {
  FullEngines(int engines, double left) : m_world(engines, 3) {
    for (int model = 0; model < 3; ++model) {
      m_world.SetSizes(model, (kEngineMegabytes - left) / 3, kAdapterMegabytes);
    }
    for (int engine = 0; engine < engines; ++engine) {
      m_world.Hold(engine, {0, 1, 2});
    }
  }

  void Ask(int model, int adapter) {
    m_world.AddDemand(model, 1, "a" + std::to_string(adapter));
    for (int step = 0; step < 30; ++step) {
      m_world.Step(milliseconds(100), 0, m_random);
    }
    m_world.m_waiting_requests.clear();
  }
  bool Has(int engine, int model, int adapter) {
    return m_world.m_engines[Engine(engine)].m_adapters.contains(
        {Model(model), AdapterId("a" + std::to_string(adapter))});
  }
  std::set<ModelId> ModelsOf(int engine) {
    return m_world.m_engines[Engine(engine)].m_models;
  }
  void Use(int engine, int model) {
    m_world.m_running[{Engine(engine), Model(model)}] = 1;
  }

  RandomEngine m_random{1};
  PlannerWorld m_world;
};

}  // namespace

// Guards against LIMIT (review/8): rare adapters were ordered to an engine
// whose models leave room for seven, because only their number was looked at.
TEST_CASE("Adapters for which there is no room make others yield") {
  FullEngines engines(1, 7.5 * kAdapterMegabytes);
  for (int adapter = 1; adapter <= 12; ++adapter) {
    engines.Ask(adapter % 3, adapter);
    CHECK(engines.Has(0, adapter % 3, adapter));
  }
  CHECK(engines.m_world.m_max_used <= kEngineMegabytes);
  CHECK(engines.m_world.m_max_adapters == 7U);
}

// Guards against an adapter that is never loaded because no adapter can make
// room for it.
TEST_CASE("A model that nobody uses makes room for an adapter") {
  FullEngines engines(1, 0.5 * kAdapterMegabytes);
  engines.Use(0, 1);
  engines.Ask(0, 1);
  CHECK(engines.Has(0, 0, 1));
  CHECK(engines.ModelsOf(0) == std::set<ModelId>{Model(0), Model(1)});
  CHECK(engines.m_world.m_max_used <= kEngineMegabytes);
}

TEST_CASE("An adapter that nothing can make room for is not ordered") {
  FullEngines engines(1, 0.5 * kAdapterMegabytes);
  engines.Use(0, 1);
  engines.Use(0, 2);
  engines.Ask(0, 1);
  CHECK(engines.m_world.m_orders.empty());
}

// Guards against the loss of a model although another engine has room.
TEST_CASE("An engine with room for an adapter goes before a less busy one") {
  FullEngines engines(2, 0.5 * kAdapterMegabytes);
  engines.m_world.m_engines[Engine(1)].m_models = {Model(0), Model(1)};
  engines.m_world.Publish(Engine(1));
  engines.Use(1, 0);
  engines.Ask(0, 1);
  CHECK(engines.Has(1, 0, 1));
  CHECK_FALSE(engines.Has(0, 0, 1));
  CHECK(engines.ModelsOf(0).size() == 3);
}

// Guards against an adapter that is loaded beside models which leave no room
// for it (LIMIT, review/8): the oracle adds up everything that an engine holds
// and loads, at each order that it accepts.
TEST_CASE("Adapters never exceed the memory that the models leave") {
  CHECK(rc::check(
      "for any sizes, engines filled by others, late orders and changes", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto late = *rc::gen::element(0.0, 0.2, 0.6);
        RandomEngine random(seed);
        constexpr int kModels = 9;
        PlannerWorld world(2, kModels);
        std::uniform_int_distribution<int> model(0, kModels - 1);
        std::uniform_int_distribution<int> percent(0, 99);
        std::uniform_real_distribution<double> share(0, 1);
        for (int i = 0; i < kModels; ++i) {
          world.SetSizes(i, 30000 + 40000 * share(random),
                         percent(random) < 20 ? 4000 * share(random)
                                              : 20 + 100 * share(random));
        }
        // Engines hold from the start what just fits without any adapter.
        for (int engine = 0; engine < 2; ++engine) {
          const int first = 3 * engine;
          const double left = kEngineMegabytes - world.SizeOf(Model(first)) -
                              world.SizeOf(Model(first + 1));
          world.SetSizes(first + 2, left - 600 * share(random),
                         world.AdapterSizeOf(Model(first + 2)));
          world.Hold(engine, {first, first + 1, first + 2});
        }
        world.m_registration_lag =
            *rc::gen::element(seconds(0), seconds(1), seconds(6));
        world.m_adapter_load =
            *rc::gen::element(milliseconds(0), milliseconds(500));
        world.m_outdated_reports = *rc::gen::arbitrary<bool>();
        for (int step = 0; step < 300; ++step) {
          if (percent(random) < 40) {
            world.AddDemand(model(random), 1,
                            "a" + std::to_string(1 + model(random)));
          }
          if (percent(random) < 5) {
            world.AddDemand(model(random), 1);
          }
          if (percent(random) < 15) {
            world.m_waiting_requests.clear();
          }
          if (percent(random) < 10) {
            world.m_running[{Engine(percent(random) % 2),
                             Model(model(random))}] = percent(random) % 3;
          }
          if (percent(random) < 3) {
            const int changed = model(random);
            if (percent(random) < 50) {
              world.RemoveModel(changed);
            } else {
              world.AddModel(changed);
            }
          }
          if (percent(random) < 2) {
            world.m_planner.Reset();
          }
          world.Step(milliseconds(100), late, random);
          if (world.m_max_used > kEngineMegabytes) {
            for (const std::string& event : world.m_events) {
              RC_LOG() << event << "\n";
            }
          }
          RC_ASSERT(world.m_max_used <= kEngineMegabytes);
          RC_ASSERT(world.m_max_adapters <= 8U);
        }
      }));
}
