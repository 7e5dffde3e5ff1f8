#include <catch2/catch.hpp>

#include "Tests/entry/entry_fixture.h"

using namespace hickoryloft;
using namespace hickoryloft::entry;

namespace {

std::uint64_t RequestCount(const standins::StandIn& server) {
  return server.Record()["requests"]["count"];
}

std::function<std::optional<wire::DemandReplyT>(const wire::DemandRequestT&)>
ReplyLoading(std::uint32_t ready_in_ms) {
  return [ready_in_ms](const wire::DemandRequestT&) {
    wire::DemandReplyT reply;
    reply.verdict = wire::DemandVerdict::Loading;
    reply.ready_in_ms = ready_in_ms;
    return reply;
  };
}

}  // namespace

TEST_CASE("A completion is answered and the unused tokens are refunded") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  auto request = fixture.Completion();
  request.m_headers.push_back({"X-Request-Id", "mine-7"});
  const ReceivedAnswer answer = fixture.Run(request);
  REQUIRE(answer.m_head.m_status == 200);
  CHECK(answer.Json()["choices"][0]["text"] == "t0 t1 t2 t3 t4 ");
  CHECK(*endpoint::FindHeader(answer.m_head.m_headers, "X-Request-Id") ==
        "mine-7");
  const auto usage = answer.Json()["usage"];
  CHECK(fixture.m_reserved - fixture.m_refunded == usage["total_tokens"]);
  const std::string labels =
      "{account=\"returns/counter\",kind=\"completion\"}";
  CHECK(fixture.Metric("loft_entry_requests_total" + labels) == 1);
  CHECK(fixture.Metric("loft_entry_completions_total" + labels) == 1);
  CHECK(fixture.Metric("loft_entry_first_answer_seconds_count" + labels) == 1);
}

TEST_CASE("A caller's key is not sent to an engine") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  auto request = fixture.Completion();
  request.m_target += "?token=" + kKey;
  CHECK(fixture.Run(request).m_head.m_status == 200);
  const auto record = fixture.m_engine1.Record()["requests"];
  CHECK(record["with_authorization"] == 0);
  CHECK(record["with_secret"] == 0);
  request.m_body = R"({"model":"notes","prompt":")" + kKey + "\"}";
  CHECK(fixture.Run(request).ProblemType() == "key-in-request");
}

TEST_CASE("Concurrent requests for an idle model send one demand") {
  EntryFixture fixture;
  fixture.PublishEndpoints({});
  fixture.m_coordinator.m_on_demand = ReplyLoading(100);
  constexpr int kBurst = 20;
  std::vector<std::shared_ptr<ReceivedAnswer>> answers;
  answers.reserve(kBurst);
  for (int i = 0; i < kBurst; ++i) {
    answers.push_back(fixture.Start(fixture.Completion()));
  }
  fixture.RunFor(milliseconds(100));
  REQUIRE(fixture.m_coordinator.m_demands.size() == 1);
  const auto& demand = fixture.m_coordinator.m_demands[0];
  CHECK(demand.model == "returns/notes");
  CHECK(demand.version == "3");
  CHECK(demand.account == "returns/counter");
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  for (const auto& answer : answers) {
    fixture.RunUntil([&] { return answer->ended(); });
    CHECK(answer->m_head.m_status == 200);
  }
  CHECK(fixture.Metric("loft_entry_cold_start_seconds_count") == kBurst);
}

TEST_CASE(
    "A request is refused at once if its model loads after the deadline") {
  EntryFixture fixture;
  fixture.PublishEndpoints({});
  fixture.m_coordinator.m_on_demand = ReplyLoading(8000);
  auto request = fixture.Completion();
  request.m_headers.push_back({"X-Patience-Ms", "3000"});
  const MonotonicTime start = fixture.m_loop.Now();
  const ReceivedAnswer answer = fixture.Run(request);
  CHECK(fixture.m_loop.Now() - start < seconds(1));
  CHECK(answer.ProblemType() == "patience-exceeded");
  CHECK(answer.Json()["outcome"] == "not_run");
  CHECK(*endpoint::FindHeader(answer.m_head.m_headers, "Retry-After") == "8");
  CHECK(fixture.m_reserved == fixture.m_refunded);
  CHECK(fixture.Metric("loft_entry_refusals_total{account=\"returns/counter\","
                       "kind=\"completion\",reason=\"patience-exceeded\","
                       "within_rate=\"true\"}") == 1);
}

TEST_CASE(
    "Refusals by the coordinator and by the rate limit reach the caller") {
  EntryFixture fixture;
  fixture.PublishEndpoints({});
  fixture.m_coordinator.m_on_demand = [](const wire::DemandRequestT&) {
    wire::DemandReplyT reply;
    reply.verdict = wire::DemandVerdict::Refused;
    reply.retry_after_ms = 2500;
    reply.reason = "memory";
    return reply;
  };
  const ReceivedAnswer refused = fixture.Run(fixture.Completion());
  CHECK(refused.ProblemType() == "no-capacity");
  CHECK(*endpoint::FindHeader(refused.m_head.m_headers, "Retry-After") == "3");
  fixture.m_over_rate = true;
  const ReceivedAnswer over_rate = fixture.Run(fixture.Completion());
  CHECK(over_rate.m_head.m_status == 429);
  CHECK(over_rate.ProblemType() == "over-rate");
  CHECK(*endpoint::FindHeader(over_rate.m_head.m_headers, "Retry-After") ==
        "2");
}

TEST_CASE("A request is rerouted if an engine cannot accept it") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine2);
  // The endpoint table is stale: the model is not loaded on engine 1.
  fixture.PublishEndpoints({&fixture.m_engine1, &fixture.m_engine2});
  const std::uint64_t initial_count = RequestCount(fixture.m_engine1);
  for (int i = 0; i < 6; ++i) {
    CHECK(fixture.Run(fixture.Completion()).m_head.m_status == 200);
  }
  CHECK(RequestCount(fixture.m_engine1) <= initial_count + 1);

  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1, &fixture.m_engine2});
  fixture.m_engine2.SetFaults({{"leaving", true}});
  const std::uint64_t before = RequestCount(fixture.m_engine2);
  for (int i = 0; i < 6; ++i) {
    CHECK(fixture.Run(fixture.Completion()).m_head.m_status == 200);
  }
  CHECK(RequestCount(fixture.m_engine2) <= before + 1);
}

TEST_CASE("An answer with another request's id does not reach a caller") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.LoadModel(fixture.m_engine2);
  fixture.PublishEndpoints({&fixture.m_engine1, &fixture.m_engine2});
  fixture.m_engine1.SetFaults({{"reply_with_wrong_id", 1}});
  fixture.m_engine2.SetFaults({{"reply_with_wrong_id", 1}});
  for (int i = 0; i < 4; ++i) {
    CHECK(fixture.Run(fixture.Completion()).m_head.m_status == 200);
  }
  CHECK(fixture.Metric("loft_entry_wrong_ids_total") >= 1);
  CHECK(fixture.Metric("loft_entry_retries_total") >= 1);
}

TEST_CASE(
    "A request to an unresponsive engine ends when the patience expires") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  fixture.m_engine1.SetFaults({{"freeze_ms", 3000}});
  auto request = fixture.Completion();
  request.m_headers.push_back({"X-Patience-Ms", "200"});
  const ReceivedAnswer answer = fixture.Run(request);
  CHECK(answer.ProblemType() == "patience-exceeded");
  CHECK(answer.Json()["outcome"] == "unknown");
}
