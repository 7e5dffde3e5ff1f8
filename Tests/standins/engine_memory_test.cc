#include "StandIns/engine_memory.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

using namespace hickoryloft::standins;

namespace {

EngineOrder ArbitraryOrder(std::uint64_t last_number) {
  const auto bytes = *rc::gen::inRange<std::uint64_t>(1, 60);
  return {.m_is_load = *rc::gen::weightedElement<bool>({{3, true}, {1, false}}),
          .m_number = *rc::gen::inRange<std::uint64_t>(1, last_number + 2),
          .m_scope = *rc::gen::elementOf(std::vector<std::string>{"p0", "p1"}),
          .m_fence = *rc::gen::inRange(1, 5),
          .m_artifact = {.m_model = *rc::gen::elementOf(
                             std::vector<std::string>{"m1", "m2", "m3"}),
                         .m_version = "1"},
          .m_bytes = bytes,
          .m_peak_bytes = bytes + *rc::gen::inRange<std::uint64_t>(0, 20)};
}

}  // namespace

TEST_CASE("Memory is not exceeded, order numbers act once, old fences never") {
  CHECK(rc::check([] {
    constexpr std::uint64_t kMemoryBytes = 100;
    EngineMemory memory(kMemoryBytes, /*checks_fencing=*/true);
    std::map<std::string, std::int64_t> fences;
    std::map<std::uint64_t, int> statuses;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      if (*rc::gen::inRange(0, 4) == 0) {
        for (const auto& [name, item] : std::map(memory.items())) {
          memory.FinishLoad(name, item.m_order_number);
          memory.FinishUnload(name);
        }
        continue;
      }
      const EngineOrder order = ArbitraryOrder(statuses.size());
      const auto items_before = memory.ItemsJson();
      const OrderAnswer answer = memory.Execute(order);
      const bool repeated = statuses.contains(order.m_number);
      RC_ASSERT(answer.m_repeated == repeated);
      if (repeated) {
        RC_ASSERT(answer.m_status == statuses[order.m_number]);
        RC_ASSERT(memory.ItemsJson() == items_before);
      } else if (order.m_fence < fences[order.m_scope]) {
        RC_ASSERT(answer.m_code == "fenced");
        RC_ASSERT(memory.ItemsJson() == items_before);
      } else {
        RC_ASSERT(answer.m_code != "fenced");
        fences[order.m_scope] = order.m_fence;
        statuses[order.m_number] = answer.m_status;
      }
      RC_ASSERT(memory.UsedBytes() <= kMemoryBytes);
    }
    RC_ASSERT(memory.RecordJson()["most_bytes"].get<std::uint64_t>() <=
              kMemoryBytes);
  }));
}

TEST_CASE(
    "An adapter needs its model; an aborted load completes no later one") {
  EngineMemory memory(100, /*checks_fencing=*/false);
  EngineOrder adapter{.m_is_load = true,
                      .m_number = 1,
                      .m_artifact = {"m", "a", "1"},
                      .m_bytes = 1,
                      .m_peak_bytes = 1};
  CHECK(memory.Execute(adapter).m_reason == "model_not_loaded");
  EngineOrder model{.m_is_load = true,
                    .m_number = 2,
                    .m_artifact = {"m", "", "1"},
                    .m_bytes = 10,
                    .m_peak_bytes = 20};
  CHECK(memory.Execute(model).m_code == "accepted");
  CHECK(memory.UsedBytes() == 20);
  EngineOrder unload = model;
  unload.m_is_load = false;
  unload.m_number = 3;
  CHECK(memory.Execute(unload).m_code == "accepted");
  model.m_number = 4;
  CHECK(memory.Execute(model).m_code == "accepted");
  memory.FinishLoad("m@1", 2);
  CHECK(memory.FindReady("m@1") == nullptr);
  memory.FinishLoad("m@1", 4);
  CHECK(memory.FindReady("m@1") != nullptr);
  CHECK(memory.UsedBytes() == 10);
  adapter.m_number = 5;
  CHECK(memory.Execute(adapter).m_code == "accepted");
}
