#include <catch2/catch.hpp>

#include "Tests/entry/entry_fixture.h"

using namespace hickoryloft;
using namespace hickoryloft::entry;

namespace {

using trompeloeil::_;

const endpoint::HeaderFields kIdempotencyKeyHeader = {
    {"Idempotency-Key", "p-1"}};

std::uint64_t Executions(const EntryFixture& fixture) {
  return fixture.m_service.Record()["executions"];
}

ActionDecision MakeDecision(BeginVerdict step) {
  return {.m_verdict = step,
          .m_attempt = 9,
          .m_send_deadline = MonotonicClock::now() + seconds(5),
          .m_answer = {.m_status = 200,
                       .m_content_type = "application/json",
                       .m_body = "{\"recorded\":true}"},
          .m_retry_after = seconds(1)};
}

// Publishes an endpoint of the service at a port on which nothing listens.
void PublishClosedService(EntryFixture& fixture) {
  auto state = std::make_unique<wire::EndpointStateT>();
  state->id = "ledger-1";
  state->kind = wire::EndpointKind::Service;
  state->service = "ledger";
  state->address = "127.0.0.1";
  {
    const wire::Listener closed_listener(fixture.m_loop, "127.0.0.1", 0,
                                         [](int) {});
    state->port = closed_listener.port();
  }
  wire::EndpointUpdateT update;
  update.endpoints.push_back(std::move(state));
  fixture.m_coordinator.Notify(wire::MakeEnvelope(std::move(update)));
  fixture.RunFor(milliseconds(30));
}

}  // namespace

TEST_CASE("The route with the longest prefix of whole segments matches") {
  const documents::PlainServiceSpec service{
      .m_id = ServiceId("s"),
      .m_routes = {{.m_path = "/a"}, {.m_path = "/a/b"}, {.m_path = "/c/"}}};
  CHECK(FindRoute(service, "/a/x")->m_path == "/a");
  CHECK(FindRoute(service, "/a/b")->m_path == "/a/b");
  CHECK(FindRoute(service, "/a/b/c")->m_path == "/a/b");
  CHECK(FindRoute(service, "/a/bc")->m_path == "/a");
  CHECK(FindRoute(service, "/ab") == nullptr);
  CHECK(FindRoute(service, "/c/d")->m_path == "/c/");
}

TEST_CASE("A plain service never receives the caller's key") {
  EntryFixture fixture;
  fixture.PublishEndpoints({});
  auto call = fixture.ServiceCall("/read/7?key=" + kKey + "&x=1");
  const ReceivedAnswer answer = fixture.Run(call);
  REQUIRE(answer.m_head.m_status == 200);
  CHECK(answer.Json()["path"] == "/read/7");
  CHECK(fixture.m_service.Record()["requests"]["with_secret"] == 0);
  CHECK(fixture.m_service.Record()["requests"]["with_authorization"] == 0);
  call.m_headers.clear();
  CHECK(fixture.Run(call).ProblemType() == "unauthenticated");
  call.m_target = "/services/ledger/read/status";
  CHECK(fixture.Run(call).m_head.m_status == 200);
  CHECK(fixture.Run(fixture.ServiceCall("/none")).ProblemType() ==
        "unknown-route");
  CHECK(fixture.Run(fixture.ServiceCall("/read/status/../../payouts"))
            .ProblemType() == "bad-request");
}

TEST_CASE("Only an idempotent call is retried") {
  EntryFixture fixture;
  fixture.PublishEndpoints({});
  fixture.m_service.SetFaults({{"drop_replies", 1}});
  CHECK(fixture.Run(fixture.ServiceCall("/read")).m_head.m_status == 200);
  CHECK(Executions(fixture) == 2);
  fixture.m_service.SetFaults({{"drop_replies", 1}});
  const ReceivedAnswer answer = fixture.Run(fixture.ServiceCall("/payouts"));
  CHECK(answer.ProblemType() == "endpoint-failed");
  CHECK(answer.Json()["outcome"] == "unknown");
  CHECK(Executions(fixture) == 3);
}

TEST_CASE("An action runs once and its answer is recorded") {
  EntryFixture fixture;
  fixture.PublishEndpoints({});
  std::string recorded;
  REQUIRE_CALL(*fixture.m_actions, Begin(_, _, _))
      .WITH(_1.m_account.value() == "returns/counter" && _1.m_key == "p-1" &&
            _1.m_service.value() == "ledger" && _1.m_route == "/payouts")
      .SIDE_EFFECT(_3(MakeDecision(BeginVerdict::kRun)));
  REQUIRE_CALL(*fixture.m_actions, Finish(_, _, _, _, _))
      .WITH(_2 == 9 && _3 == ActionResult::kAnswered)
      .LR_SIDE_EFFECT(recorded = _4.m_body)
      .SIDE_EFFECT(_5(true));
  const ReceivedAnswer answer =
      fixture.Run(fixture.ServiceCall("/payouts", kIdempotencyKeyHeader));
  CHECK(answer.m_head.m_status == 200);
  CHECK(recorded == answer.m_body);
  CHECK(Executions(fixture) == 1);
}

TEST_CASE("Ledger decisions that forbid a run are reported to the caller") {
  struct Case {
    BeginVerdict m_verdict;
    const char* m_problem;
    const char* m_outcome;
  };
  EntryFixture fixture;
  fixture.PublishEndpoints({});
  for (const Case& test :
       {Case{BeginVerdict::kInProgress, "action-in-progress", "unknown"},
        Case{BeginVerdict::kUnknown, "action-unknown", "unknown"},
        Case{BeginVerdict::kMismatch, "action-mismatch", "not_run"},
        Case{BeginVerdict::kRefused, "action-refused", "not_run"}}) {
    REQUIRE_CALL(*fixture.m_actions, Begin(_, _, _))
        .LR_SIDE_EFFECT(_3(MakeDecision(test.m_verdict)));
    const ReceivedAnswer answer =
        fixture.Run(fixture.ServiceCall("/payouts", kIdempotencyKeyHeader));
    CHECK(answer.ProblemType() == test.m_problem);
    CHECK(answer.Json()["outcome"] == test.m_outcome);
  }
  {
    REQUIRE_CALL(*fixture.m_actions, Begin(_, _, _))
        .SIDE_EFFECT(_3(MakeDecision(BeginVerdict::kAnswered)));
    CHECK(fixture.Run(fixture.ServiceCall("/payouts", kIdempotencyKeyHeader))
              .Json()["recorded"] == true);
  }
  REQUIRE_CALL(*fixture.m_actions, Begin(_, _, _))
      .SIDE_EFFECT(_3(Error(ErrorCode::kUnavailable, "no ledger")));
  CHECK(fixture.Run(fixture.ServiceCall("/payouts", kIdempotencyKeyHeader))
            .Json()["outcome"] == "not_run");
  CHECK(Executions(fixture) == 0);
  CHECK(fixture.m_reserved == fixture.m_refunded);
}

TEST_CASE("An action past its send deadline is recorded as not run") {
  EntryFixture fixture;
  fixture.PublishEndpoints({});
  ActionDecision expired_decision = MakeDecision(BeginVerdict::kRun);
  expired_decision.m_send_deadline = MonotonicTime{};
  REQUIRE_CALL(*fixture.m_actions, Begin(_, _, _))
      .LR_SIDE_EFFECT(_3(expired_decision));
  REQUIRE_CALL(*fixture.m_actions, Finish(_, _, _, _, _))
      .WITH(_3 == ActionResult::kNotRun)
      .SIDE_EFFECT(_5(true));
  const ReceivedAnswer refusal =
      fixture.Run(fixture.ServiceCall("/payouts", kIdempotencyKeyHeader));
  CHECK(refusal.Json()["outcome"] == "not_run");
  CHECK(Executions(fixture) == 0);
}

TEST_CASE("An action whose service cannot be reached is recorded as not run") {
  EntryFixture fixture;
  PublishClosedService(fixture);
  REQUIRE_CALL(*fixture.m_actions, Begin(_, _, _))
      .SIDE_EFFECT(_3(MakeDecision(BeginVerdict::kRun)));
  REQUIRE_CALL(*fixture.m_actions, Finish(_, _, _, _, _))
      .WITH(_3 == ActionResult::kNotRun)
      .SIDE_EFFECT(_5(true));
  const ReceivedAnswer closed =
      fixture.Run(fixture.ServiceCall("/payouts", kIdempotencyKeyHeader));
  CHECK(closed.ProblemType() == "endpoint-failed");
  CHECK(closed.Json()["outcome"] == "not_run");
}

TEST_CASE("An action's answer is recorded after its caller has disconnected") {
  EntryFixture fixture;
  fixture.PublishEndpoints({});
  fixture.m_service.SetFaults({{"delay_ms", 200}});
  bool finished = false;
  REQUIRE_CALL(*fixture.m_actions, Begin(_, _, _))
      .SIDE_EFFECT(_3(MakeDecision(BeginVerdict::kRun)));
  REQUIRE_CALL(*fixture.m_actions, Finish(_, _, _, _, _))
      .WITH(_3 == ActionResult::kAnswered)
      .LR_SIDE_EFFECT(finished = true)
      .SIDE_EFFECT(_5(true));
  const auto answer =
      fixture.Start(fixture.ServiceCall("/payouts", kIdempotencyKeyHeader));
  fixture.RunFor(milliseconds(80));
  fixture.Disconnect(answer);
  fixture.RunUntil([&] { return finished; });
  CHECK(Executions(fixture) == 1);
}

TEST_CASE("An action that the ledger allows twice is counted") {
  EntryFixture fixture;
  fixture.PublishEndpoints({});
  ALLOW_CALL(*fixture.m_actions, Begin(_, _, _))
      .SIDE_EFFECT(_3(MakeDecision(BeginVerdict::kRun)));
  ALLOW_CALL(*fixture.m_actions, Finish(_, _, _, _, _)).SIDE_EFFECT(_5(true));
  fixture.Run(fixture.ServiceCall("/payouts", kIdempotencyKeyHeader));
  CHECK(fixture.Metric("loft_entry_doubled_actions_total") == 0);
  fixture.Run(fixture.ServiceCall("/payouts", kIdempotencyKeyHeader));
  CHECK(fixture.Metric("loft_entry_doubled_actions_total") == 1);
}
