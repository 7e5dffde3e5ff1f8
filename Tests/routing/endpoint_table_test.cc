#include "routing/endpoint_table.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace hickoryloft;
using namespace hickoryloft::routing;

namespace {

EndpointRecord RandomRecord(const EndpointId& id) {
  EndpointRecord record{.m_id = id, .m_leaving = *rc::gen::inRange(0, 4) == 0};
  for (const char* name : {"s/a@1", "s/b@1"}) {
    if (*rc::gen::arbitrary<bool>()) {
      record.m_replicas.push_back(
          {.m_served_name = name, .m_ready = *rc::gen::arbitrary<bool>()});
    }
  }
  return record;
}

}  // namespace

TEST_CASE("The table returns the same endpoints as a scan of all records") {
  CHECK(rc::check([] {
    EndpointTable table;
    std::map<EndpointId, EndpointRecord> oracle;
    std::map<EndpointId, MonotonicTime> hints;
    std::set<EndpointId> draining;
    MonotonicTime now{seconds(1000)};
    for (int step = 0; step < 60; ++step) {
      now += seconds(*rc::gen::inRange(0, 5));
      const EndpointId id("e" + std::to_string(*rc::gen::inRange(0, 4)));
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
        case 1: {
          const EndpointRecord record = RandomRecord(id);
          table.Update(record);
          oracle[id] = record;
          break;
        }
        case 2:
          table.Remove(id);
          oracle.erase(id);
          break;
        case 3:
          table.MarkLeaving(id, now);
          hints[id] = now;
          break;
        case 4:
          draining = *rc::gen::arbitrary<bool>() ? std::set<EndpointId>{id}
                                                 : std::set<EndpointId>{};
          table.SetDraining(draining);
          break;
        default: {
          const EndpointRecord record = RandomRecord(id);
          table.ReplaceAll({record});
          oracle = {{id, record}};
        }
      }
      table.ExpireHints(now);
      std::erase_if(hints, [&](const auto& hint) {
        return now - hint.second >= EndpointTable::kLeavingHintHold;
      });
      for (const char* name : {"s/a@1", "s/b@1"}) {
        std::set<EndpointId> expected;
        for (const auto& [key, record] : oracle) {
          const bool offered = !record.m_leaving && !hints.contains(key) &&
                               !draining.contains(key);
          const bool ready = std::any_of(
              record.m_replicas.begin(), record.m_replicas.end(),
              [&](const Replica& replica) {
                return replica.m_served_name == name && replica.m_ready;
              });
          if (offered && ready) {
            expected.insert(key);
          }
        }
        std::set<EndpointId> offered;
        for (const EndpointRecord* record : table.Ready(name)) {
          offered.insert(record->m_id);
        }
        RC_ASSERT(offered == expected);
        RC_ASSERT(table.Ready(name).size() == offered.size());
      }
    }
  }));
}

TEST_CASE("Plain services and loading replicas are found") {
  EndpointTable table;
  table.Update({.m_id = EndpointId("ledger-1"),
                .m_role = EndpointRole::kService,
                .m_service = ServiceId("ledger")});
  CHECK(table.Service(ServiceId("ledger")).size() == 1);
  CHECK(table.Service(ServiceId("other")).empty());
  const MonotonicTime soon{seconds(5)};
  table.Update(
      {.m_id = EndpointId("e"),
       .m_replicas = {{.m_served_name = "s/a@1", .m_ready_at = soon}}});
  CHECK(table.ReadyAt("s/a@1") == soon);
  table.Update({.m_id = EndpointId("e"),
                .m_replicas = {{.m_served_name = "s/a@1", .m_ready = true}}});
  CHECK(table.Ready("s/a@1").size() == 1);
  table.MarkNotLoaded(EndpointId("e"), "s/a@1");
  CHECK(table.Ready("s/a@1").empty());
}
