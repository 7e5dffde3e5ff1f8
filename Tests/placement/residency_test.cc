// Loads that come before callers wait: who is cold after a crash, a release or
// a move of demand, and what it costs those in flight.

#include "placement/residency.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "Tests/placement/planner_world.h"
#include "placement/plan_pacer.h"

using namespace hickoryloft;
using namespace hickoryloft::placement;

namespace {

void Run(PlannerWorld& world, Duration time) {
  RandomEngine random(1);
  for (Duration passed{}; passed < time; passed += milliseconds(100)) {
    world.Step(milliseconds(100), 0, random);
  }
}

std::set<ModelId> Resident(const PlannerWorld& world) {
  std::set<ModelId> resident;
  for (const auto& [id, engine] : world.m_engines) {
    resident.insert(engine.m_models.begin(), engine.m_models.end());
  }
  return resident;
}

}  // namespace

// An engine restarts empty; its models lie on its disk. Callers of rare models
// should not be the ones who find out.
TEST_CASE("A returning engine is refilled from its disk") {
  PlannerWorld world(2, 6, std::make_unique<FullResidency>());
  world.Hold(0, {0, 1, 3});
  world.KeepOnDisk(1, {2, 4, 5});
  Run(world, seconds(5));
  CHECK(Resident(world).size() == 6);
  CHECK(world.m_store_loads == 0);
  CHECK(world.m_most_used <= kEngineMegabytes);
}

// Half of the requests ask for rare models, each of them seldom: one that lies
// nowhere near costs its caller a load from the weight store.
TEST_CASE("Models without a near copy are fetched into free memory") {
  PlannerWorld world(2, 6, std::make_unique<FullResidency>());
  world.Hold(0, {0, 1});
  Run(world, seconds(30));
  CHECK(Resident(world).size() == 6);
}

TEST_CASE("A model that callers wait for goes before anticipated ones") {
  PlannerWorld world(1, 12, std::make_unique<FullResidency>());
  world.m_store_serves = 1;
  world.KeepOnDisk(0, {0, 1, 3, 5, 7});
  world.Want(9, 1);
  Run(world, milliseconds(300));
  REQUIRE_FALSE(world.m_orders.empty());
  CHECK(world.m_orders.front().m_order.m_model == Model(9));
}

// A busy model lies on every engine, more often than its use needs; models that
// lie nowhere take the place of the copies that nobody uses.
TEST_CASE("Copies beyond need make way, copies in use and last ones do not") {
  PlannerWorld world(4, 13, std::make_unique<FullResidency>());
  for (int engine = 0; engine < 4; ++engine) {
    world.Hold(engine, {0, 2 * engine + 2});
    world.KeepOnDisk(engine, {1, 3, 5, 10, 12});
  }
  world.m_running[{Engine(0), Model(0)}] = 3;
  const auto unloaded = [&] {
    std::set<ModelId> models;
    for (const PlannedOrder& order : world.m_orders) {
      if (order.m_order.m_operation == OrderOperation::kUnload) {
        models.insert(order.m_order.m_model);
      }
    }
    return models;
  };
  SECTION("callers have come") {
    world.m_arrivals[{kService, Model(0), AdapterId()}] = 1;
    Run(world, seconds(60));
    CHECK(unloaded() == std::set<ModelId>{Model(0)});
    CHECK(Resident(world).size() >= 11);
    CHECK(world.m_engines[Engine(0)].m_models.contains(Model(0)));
  }
  SECTION("nobody has come yet, so that copies speak for their use") {
    Run(world, seconds(60));
    CHECK(unloaded().empty());
  }
  CHECK(world.m_most_used <= kEngineMegabytes);
}

// Two engines, room for four large models, five of them: nobody asks for any.
TEST_CASE("Models do not take each other's place in turns") {
  PlannerWorld world(2, 10, std::make_unique<FullResidency>());
  world.Hold(0, {0, 2});
  world.Hold(1, {4, 6});
  world.KeepOnDisk(0, {8});
  world.KeepOnDisk(1, {8});
  Run(world, seconds(20));
  for (const PlannedOrder& order : world.m_orders) {
    CHECK(order.m_order.m_operation == OrderOperation::kLoad);
  }
}

// Demand moves to a model that one engine holds; its places fill.
TEST_CASE("A model gets a second copy before callers wait for places") {
  PlannerWorld world(2, 4, std::make_unique<FullResidency>());
  world.Hold(0, {0, 2});
  world.Hold(1, {1, 3});
  world.KeepOnDisk(1, {0});
  world.m_running[{Engine(0), Model(0)}] = 24;
  Run(world, seconds(3));
  CHECK(world.m_engines[Engine(1)].m_models.contains(Model(0)));
}

// The planner learns what the weight store serves; see the sheets: 2, 4, 6.
TEST_CASE("Loads from the weight store settle near what it serves") {
  const double serves = GENERATE(2.0, 4.0, 6.0);
  PlannerWorld world(20, 60, std::make_unique<FullResidency>());
  world.m_store_serves = serves;
  Run(world, seconds(120));
  // Half of what the store can bring in that time, or nearly all that fits.
  CHECK(world.m_store_loads >= std::min(40.0, 0.5 * serves * 120 / 6));
  CHECK(world.m_most_used <= kEngineMegabytes);
}

// swt-visits-grown scale-2: with 116 servers and a queue, each report of a
// group made a plan; the giver of orders had no time to renew its right, lost
// it every five seconds and waited 3.2 s for the next one.
TEST_CASE("Plans leave the giver of orders time for all else") {
  PlanPacer pacer;
  CHECK(pacer.Pause() == PlanPacer::kLeastPause);
  for (const auto took :
       {milliseconds(5), milliseconds(20), milliseconds(50)}) {
    pacer.TakePlan(took);
    CHECK(pacer.Pause() >= 4 * took);
  }
  // Reports come far more often than the pause; the plans still run.
  pacer.TakePlan(milliseconds(200));
  CHECK(pacer.Pause() == PlanPacer::kMostPause);
}
