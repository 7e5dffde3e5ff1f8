#include <catch2/catch.hpp>

#include "Tests/entry/entry_fixture.h"

using namespace hickoryloft;
using namespace hickoryloft::entry;

TEST_CASE("A planned stop lets streams end and refuses new requests") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  const auto stream = fixture.Start(fixture.Completion(true, 60));
  fixture.RunUntil([&] { return !stream->m_body.empty(); });
  fixture.m_daemon->BeginStop();
  // During the balancer lag new requests are still answered.
  CHECK(fixture.Run(fixture.Get("/readyz")).m_head.m_status == 503);
  CHECK(fixture.Run(fixture.Completion(false, 1)).m_head.m_status == 200);
  fixture.RunFor(milliseconds(80));
  CHECK(fixture.Run(fixture.Completion()).ProblemType() == "draining");
  CHECK_FALSE(stream->ended());
  fixture.RunUntil([&] { return stream->ended(); });
  CHECK(stream->m_body.ends_with("data: [DONE]\n\n"));
  fixture.RunUntil([&] { return fixture.m_stopped; });
  CHECK(fixture.m_return_all_calls == 1);
}

TEST_CASE("A second stop request ends streams with a typed error") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  const auto stream = fixture.Start(fixture.Completion(true, 4000));
  fixture.RunUntil([&] { return !stream->m_body.empty(); });
  fixture.m_daemon->BeginStop();
  fixture.m_daemon->BeginStop();
  fixture.RunUntil([&] { return stream->ended() && fixture.m_stopped; });
  CHECK(stream->m_body.find("urn:hickoryloft:problem:draining") !=
        std::string::npos);
}

TEST_CASE("The limit of a planned stop ends running requests") {
  EntryFixture fixture("drain.limit_ms = 300\n");
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  const auto stream = fixture.Start(fixture.Completion(true, 4000));
  fixture.RunUntil([&] { return !stream->m_body.empty(); });
  fixture.m_daemon->BeginStop();
  fixture.RunUntil([&] { return fixture.m_stopped; });
  fixture.RunFor(milliseconds(20));
  CHECK(stream->ended());
}

TEST_CASE("Streams continue after the connection to the coordinator is lost") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  fixture.m_coordinator.m_valid_for_ms = 0;
  const auto stream = fixture.Start(fixture.Completion(true, 100));
  fixture.RunUntil([&] { return !stream->m_body.empty(); });
  fixture.m_coordinator.m_answering = false;
  fixture.m_coordinator.CloseAll();
  fixture.RunUntil([&] { return stream->ended(); });
  CHECK(stream->m_body.ends_with("data: [DONE]\n\n"));
  fixture.RunUntil([&] { return fixture.m_coordinator.m_hello_count >= 2; });
}

TEST_CASE("The serving right expires without renewal and is regained") {
  EntryFixture fixture;
  fixture.m_coordinator.m_answering = false;
  // The first entry holds a right for 60 s, so another one with a right for
  // 300 ms is used.
  ScriptedCoordinator second_coordinator(fixture.m_loop);
  second_coordinator.m_valid_for_ms = 300;
  const auto checked = ParseEntrySettings(settings::Settings([&] {
    std::map<std::string, settings::SettingValue> values;
    for (const auto& spec : EntrySettingTable()) {
      values[spec.m_key] = spec.m_default.value_or(std::string("x"));
    }
    values["listen.port"] = std::int64_t{0};
    values["coordinator.port"] = std::int64_t{second_coordinator.port()};
    return values;
  }()));
  EntryDaemon daemon(fixture.m_loop, checked, [](EventLoop&, CoordinatorLink&) {
    return Gates{.m_tokens = std::make_unique<MockTokenGate>(),
                 .m_actions = std::make_unique<MockActionGate>(),
                 .m_returning_tokens = [] { return false; }};
  });
  auto request = fixture.Completion();
  request.m_endpoint.m_port = daemon.port();
  // While the entry serves, this is refused for its unknown model.
  request.m_body = R"({"model":"nope","prompt":"x"})";
  fixture.RunFor(milliseconds(100));
  CHECK(fixture.Run(request).ProblemType() == "unknown-model");
  second_coordinator.m_answering = false;
  fixture.RunFor(milliseconds(900));
  const ReceivedAnswer refused = fixture.Run(request);
  CHECK(refused.ProblemType() == "not-serving");
  CHECK(refused.Json()["outcome"] == "not_run");
  second_coordinator.m_answering = true;
  second_coordinator.m_valid_for_ms = 60000;
  fixture.RunFor(milliseconds(700));
  CHECK(fixture.Run(request).ProblemType() == "unknown-model");
}
