#include "host/report_codec.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::host;

TEST_CASE("Counts and news survive the wire") {
  membership::FleetCounts counts;
  counts.m_uses[{EndpointId("e"), ModelId("m")}] = 3;
  counts.m_wants[{ServiceId("s"), ModelId("m"), AdapterId("a")}] = {
      .m_waiting = 2, .m_arrivals = 9};
  counts.m_admitted[ClientAccountId("c")] = 12.5;
  counts.m_avoided[EndpointId("e")] = 2;
  const membership::FleetCounts back = FromRow(*ToRow(counts));
  CHECK(back.m_uses == counts.m_uses);
  CHECK(back.m_admitted == counts.m_admitted);
  CHECK(back.m_avoided == counts.m_avoided);
  REQUIRE(back.m_wants.size() == 1);
  CHECK(back.m_wants.begin()->second.m_waiting == 2);
  CHECK(back.m_wants.begin()->second.m_arrivals == 9);

  const PlacementNews news{
      .m_fence = 4,
      .m_number = 7,
      .m_adapters = {{EndpointId("e"), ModelId("m"), AdapterId("a1")},
                     {EndpointId("e"), ModelId("m"), AdapterId("a2")}},
      .m_leaving = {{EndpointId("e"), ModelId("old")}},
      .m_models = {{{EndpointId("e"), ModelId("m")}, true},
                   {{EndpointId("e"), ModelId("old")}, false}}};
  const PlacementNews news_back = FromRow(*ToRow(news));
  CHECK(news_back.m_fence == 4);
  CHECK(news_back.m_number == 7);
  CHECK(news_back.m_adapters == news.m_adapters);
  CHECK(news_back.m_leaving == news.m_leaving);
  CHECK(news_back.m_models == news.m_models);
}
