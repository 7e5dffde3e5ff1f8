// Runs placement shards through random sequences of crashes and of lost,
// duplicated and delayed messages. After every step it checks two rules:
// engines hold only replicas that are in the records, and neither their memory
// use nor their reservations exceed the engine's memory.

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <catch2/catch.hpp>

#include "Tests/placement/placement_world.h"

namespace hickoryloft::placement {
namespace {

// The model state is empty, because the rules apply in every state.
struct Oracle {};

using Command = rc::state::Command<Oracle, PlacementWorld>;

class Step : public Command {
 public:
  void run(const Oracle& /*oracle*/, PlacementWorld& world) const final {
    Act(world);
    const std::string violation = world.Violation();
    if (!violation.empty()) {
      RC_FAIL(violation);
    }
  }
  virtual void Act(PlacementWorld& world) const = 0;
};

class DemandStep : public Step {
 public:
  void Act(PlacementWorld& world) const override {
    world.SendDemand(m_shard, m_model, m_adapter);
  }
  void show(std::ostream& out) const override {
    out << "ask " << m_shard << " " << m_model << " " << m_adapter;
  }

 private:
  std::size_t m_shard = *rc::gen::inRange<std::size_t>(0, kShards);
  std::size_t m_model = *rc::gen::inRange<std::size_t>(0, kModelsPerShard);
  bool m_adapter = *rc::gen::arbitrary<bool>();
};

template <void (PlacementWorld::*kMethod)(std::size_t)>
class PickStep : public Step {
 public:
  void Act(PlacementWorld& world) const override { (world.*kMethod)(m_pick); }
  void show(std::ostream& out) const override {
    out << rc::detail::demangle(typeid(*this).name()) << " " << m_pick;
  }

 private:
  std::size_t m_pick = *rc::gen::inRange<std::size_t>(0, 12);
};
using DeliverStep = PickStep<&PlacementWorld::Deliver>;
using DropStep = PickStep<&PlacementWorld::Drop>;
using DuplicateStep = PickStep<&PlacementWorld::Duplicate>;

class AdvanceStep : public Step {
 public:
  void Act(PlacementWorld& world) const override {
    world.Advance(milliseconds(m_millis));
  }
  void show(std::ostream& out) const override { out << "advance " << m_millis; }

 private:
  int m_millis = *rc::gen::weightedElement<int>(
      {{8, 50}, {4, 400}, {2, 2600}, {2, 5100}, {1, 35000}});
};

class CrashStep : public Step {
 public:
  void Act(PlacementWorld& world) const override { world.Crash(m_shard); }
  void show(std::ostream& out) const override { out << "crash " << m_shard; }

 private:
  std::size_t m_shard = *rc::gen::inRange<std::size_t>(0, kShards);
};

class RestartStep : public Step {
 public:
  void Act(PlacementWorld& world) const override {
    world.RestartEngine(m_engine);
  }
  void show(std::ostream& out) const override { out << "restart " << m_engine; }

 private:
  std::size_t m_engine = *rc::gen::inRange<std::size_t>(0, 2);
};

class ReleaseStep : public Step {
 public:
  void Act(PlacementWorld& world) const override {
    world.RequestRelease(m_shard, m_model);
  }
  void show(std::ostream& out) const override {
    out << "release " << m_shard << " " << m_model;
  }

 private:
  std::size_t m_shard = *rc::gen::inRange<std::size_t>(0, kShards);
  std::size_t m_model = *rc::gen::inRange<std::size_t>(0, kModelsPerShard);
};

// A step type is generated in proportion to how often it is listed.
auto AnyStep() {
  return rc::state::gen::execOneOfWithArgs<
      DemandStep, DemandStep, DemandStep, DeliverStep, DeliverStep, DeliverStep,
      DeliverStep, DeliverStep, DeliverStep, DeliverStep, DeliverStep, DropStep,
      DuplicateStep, AdvanceStep, AdvanceStep, AdvanceStep, CrashStep,
      RestartStep, ReleaseStep>();
}

TEST_CASE("Engines hold only recorded replicas and never exceed their memory") {
  const bool held = rc::check([] {
    PlacementWorld world;
    rc::state::check(Oracle{}, world, AnyStep());
    world.Quiesce();
    const std::string violation = world.Violation();
    const std::string unfinished = world.UnfinishedWork();
    RC_ASSERT(violation == "");
    RC_ASSERT(unfinished == "");
  });
  REQUIRE(held);
}

TEST_CASE("A demand for an idle model starts exactly one load") {
  PlacementWorld world;
  world.SendDemand(0, 0, /*adapter=*/false);
  world.Quiesce();
  REQUIRE(world.loads() == 1);
  REQUIRE(world.ready_answers() == 0);
}

}  // namespace
}  // namespace hickoryloft::placement
