#include <catch2/catch.hpp>

#include "StandIns/platform_stand_in.h"
#include "StandIns/relay.h"
#include "StandIns/service_stand_in.h"
#include "StandIns/store_stand_in.h"
#include "StandIns/transfer_lane.h"
#include "Tests/standins/stand_in_client.h"

using namespace hickoryloft;
using namespace hickoryloft::standins;
using test::RunUntil;

TEST_CASE("A plain service records an execution whose reply is lost") {
  EventLoop loop;
  ServiceStandIn service(loop, {}, "ledger");
  test::StandInClient client(loop, service.port());
  const test::StandInClient::Headers key = {{"Idempotency-Key", "k1"}};
  service.SetFaults({{"drop_replies", 1}});
  CHECK(client.Post("/payouts", {{"sum", 3}}, key).error().code() ==
        ErrorCode::kOutcomeUnknown);
  CHECK(client.Post("/payouts", {{"sum", 3}}, key).value().m_status == 200);
  service.SetFaults({{"refuse", true}});
  CHECK(client.Post("/payouts", {{"sum", 3}}, key).value().m_status == 503);
  const auto record = client.Get("/record");
  CHECK(record["by_idempotency_key"]["k1"]["count"] == 2);
  CHECK(record["refused"] == 1);
}

TEST_CASE("A malformed request gets status 400 and the server keeps serving") {
  EventLoop loop;
  PlatformStandIn platform(loop, {});
  StoreStandIn store(loop, {}, {});
  test::StandInClient to_platform(loop, platform.port());
  test::StandInClient to_store(loop, store.port());
  const nlohmann::json bad_key = {{"key", "?"}};
  CHECK(to_platform.Post("/v3/watch", {{"create_request", bad_key}})
            .value()
            .m_status == 400);
  CHECK(to_platform.Post("/v3/kv/put", bad_key).value().m_status == 400);
  CHECK(to_platform.Post("/faults", {{"delay_ms", "long"}}).value().m_status ==
        400);
  CHECK(to_store.Post("/fetch", {{"artifact", "a"}, {"bytes", "many"}})
            .value()
            .m_status == 400);
  CHECK(to_store.Post("/fetch", {{"artifact", "a"}, {"bytes", 1}})
            .value()
            .m_status == 200);
}

TEST_CASE("Transfers beyond the limit slow down in proportion") {
  EventLoop loop;
  TransferLane lane(loop, /*full_speed_limit=*/2);
  const MonotonicTime start = loop.Now();
  int done = 0;
  for (int i = 0; i < 4; ++i) {
    lane.Start(milliseconds(50), [&] { ++done; });
  }
  RunUntil(loop, [&] { return done == 4; });
  CHECK(loop.Now() - start >= milliseconds(99));
  CHECK(lane.most_active() == 4);
}

TEST_CASE(
    "A cut relay holds bytes back and delivers them once it is restored") {
  EventLoop loop;
  ServiceStandIn service(loop, {}, "s");
  Relay relay(loop, {}, {.m_port = service.port()});
  RelayControl control(loop, {}, relay);
  test::StandInClient client(loop, relay.port(), milliseconds(100));
  CHECK(client.Post("/a", "x").ok());
  control.SetFaults({{"cut", true}});
  CHECK(client.Post("/b", "x").error().code() == ErrorCode::kTimedOut);
  CHECK(service.Record()["executions"] == 1);
  control.SetFaults({{"cut", false}});
  RunUntil(loop, [&] { return service.Record()["executions"] == 2; });
  control.SetFaults({{"cut", "close"}});
  CHECK(client.Post("/c", "x").error().code() == ErrorCode::kOutcomeUnknown);
  control.SetFaults({{"cut", false}, {"delay_ms", 20}});
  const MonotonicTime start = loop.Now();
  CHECK(client.Post("/d", std::string(100'000, 'x')).ok());
  CHECK(loop.Now() - start >= milliseconds(40));
}
