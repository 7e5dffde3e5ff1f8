#include "endpoint/http_order_service.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace hickoryloft;
using namespace hickoryloft::endpoint;

namespace {

// Answers each call with a fixed status and body, in the next loop iteration.
class FixedClient : public HttpClient {
 public:
  std::unique_ptr<Call> Start(CallRequest request, CallEvents events) override {
    m_last = std::move(request);
    m_loop->Post([this, events] {
      events.m_head({.m_status = m_status});
      events.m_bytes(m_body);
      events.m_done();
    });
    return nullptr;
  }

  EventLoop* m_loop = nullptr;
  int m_status = 0;
  std::string m_body;
  CallRequest m_last;
};

template <typename T>
struct Captured {
  std::optional<Result<T>> m_result;
  std::function<void(Result<T>)> Into(EventLoop& loop) {
    return [this, &loop](Result<T> result) {
      m_result = std::move(result);
      loop.Stop();
    };
  }
};

const EndpointAddress kEngine{EndpointId("e1"), "127.0.0.1", 9};

}  // namespace

TEST_CASE("Response statuses of POST /orders are mapped to outcomes") {
  EventLoop loop;
  FixedClient client;
  client.m_loop = &loop;
  HttpOrderService orders(loop, client);
  const auto send = [&](int status) {
    client.m_status = status;
    client.m_body = R"({"reason":"memory"})";
    Captured<OrderReply> reply;
    orders.Send(kEngine,
                {.m_number = 4,
                 .m_scope = "placement/1",
                 .m_fencing_number = 7,
                 .m_artifact = {ModelId("s/m"), AdapterId("a"), "2"},
                 .m_bytes = 10},
                reply.Into(loop));
    loop.Run();
    return *reply.m_result;
  };
  CHECK(send(202).value().m_outcome == OrderOutcome::kAccepted);
  const auto body = nlohmann::json::parse(client.m_last.m_body.text());
  CHECK(body.at("fence") == 7);
  CHECK(body.at("model") == "s/m");
  CHECK(send(409).value().m_outcome == OrderOutcome::kFenced);
  CHECK(send(507).value().m_reason == "memory");
  CHECK(send(200).error().code() == ErrorCode::kProtocol);
}

TEST_CASE(
    "Raising a fence fails with kForbidden if the engine ignores fences") {
  EventLoop loop;
  FixedClient client;
  client.m_loop = &loop;
  client.m_status = 501;
  HttpOrderService orders(loop, client);
  Captured<Done> raised;
  orders.RaiseFence(kEngine, "placement/1", 7, raised.Into(loop));
  loop.Run();
  CHECK(raised.m_result->error().code() == ErrorCode::kForbidden);
}

TEST_CASE("An inventory is parsed completely or rejected") {
  const InventoryReport report = ParseInventory(
      R"({"checks_fencing":true,"leaving":false,"memory_bytes":8,"waiting":1,
          "running":2,"last_order_number":3,"items":[{"model":"s/m",
          "adapter":"","version":"1","phase":"ready","bytes":5,
          "order_number":3}],"cached":[{"model":"s/m","adapter":"",
          "version":"1","tier":"disk"}]})");
  CHECK(report.m_checks_fencing);
  REQUIRE(report.m_items.size() == 1);
  CHECK(report.m_items[0].m_phase == ArtifactPhase::kReady);
  CHECK(report.m_cached[0].m_tier == CheckpointTier::kDisk);
  CHECK_THROWS_AS(ParseInventory("{}"), Error);
  CHECK_THROWS_AS(ParseInventory("nonsense"), Error);
}
