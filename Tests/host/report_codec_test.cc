#include "host/report_codec.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::host;

TEST_CASE("Counts are unchanged after encoding and decoding") {
  membership::FleetCounts counts;
  counts.m_running = {{routing::KeyOf(EndpointId("e")), 3}};
  counts.m_admitted[ClientAccountId("c")] = 12.5;
  counts.m_avoided = {{routing::KeyOf(EndpointId("f")), 2}};
  counts.m_leaving[EndpointId("e")] = 1700000000123;
  const membership::FleetCounts back = FromRow(*ToRow(counts));
  CHECK(back.m_running == counts.m_running);
  CHECK(back.m_admitted == counts.m_admitted);
  CHECK(back.m_avoided == counts.m_avoided);
  CHECK(back.m_leaving == counts.m_leaving);
}

TEST_CASE("Demand is unchanged after encoding and decoding") {
  membership::EngineDemand demand;
  demand.m_running[{EndpointId("e"), ModelId("m")}] = 3;
  demand.m_entries[{ServiceId("s"), ModelId("m"), AdapterId("a")}] = {
      .m_waiting = 2, .m_arrivals = 9.5};
  const membership::EngineDemand back = FromRow(*ToRow(demand));
  CHECK(back.m_running == demand.m_running);
  REQUIRE(back.m_entries.size() == 1);
  CHECK(back.m_entries.begin()->second.m_waiting == 2);
  CHECK(back.m_entries.begin()->second.m_arrivals == 9.5);
}

TEST_CASE("Placement updates are unchanged after encoding and decoding") {
  const placement::PlacementUpdate update{
      .m_version = {.m_fence = 4, .m_number = 7},
      .m_is_full_state = true,
      .m_changes = {{.m_number = 6,
                     .m_fact = placement::PlacementFact::kAdapter,
                     .m_endpoint = EndpointId("e"),
                     .m_model = ModelId("m"),
                     .m_adapter = AdapterId("a1"),
                     .m_holds = true},
                    {.m_number = 7,
                     .m_fact = placement::PlacementFact::kModel,
                     .m_endpoint = EndpointId("e"),
                     .m_model = ModelId("old"),
                     .m_holds = false}}};
  const placement::PlacementUpdate back = FromRow(ToRow(update));
  CHECK(back.m_version == update.m_version);
  CHECK(back.m_is_full_state);
  CHECK(back.m_changes == update.m_changes);
}

TEST_CASE("Changes of an unsupported kind are skipped") {
  wire::PlacementUpdateT row = ToRow(placement::PlacementUpdate{
      .m_changes = {{.m_fact = placement::PlacementFact::kModel}}});
  row.changes[0]->fact = static_cast<wire::PlacementFact>(200);
  CHECK(FromRow(row).m_changes.empty());
}
