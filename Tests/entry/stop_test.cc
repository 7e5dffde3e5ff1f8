#include <catch2/catch.hpp>

#include "Tests/entry/entry_world.h"

using namespace hickoryloft;
using namespace hickoryloft::entry;

TEST_CASE("A planned stop lets streams end and refuses new requests") {
  EntryWorld world;
  world.Load(world.m_engine1);
  world.Publish({&world.m_engine1});
  const auto stream = world.Start(world.Completion(true, 60));
  world.RunUntil([&] { return !stream->m_body.empty(); });
  world.m_daemon->BeginStop();
  // During the balancer lag new requests are still answered.
  CHECK(world.Run(world.Get("/readyz")).m_head.m_status == 503);
  CHECK(world.Run(world.Completion(false, 1)).m_head.m_status == 200);
  world.RunFor(milliseconds(80));
  CHECK(world.Run(world.Completion()).ProblemType() == "draining");
  CHECK_FALSE(stream->over());
  world.RunUntil([&] { return stream->over(); });
  CHECK(stream->m_body.ends_with("data: [DONE]\n\n"));
  world.RunUntil([&] { return world.m_stopped; });
  CHECK(world.m_return_all_calls == 1);
}

TEST_CASE("A second stop request ends streams with a typed error") {
  EntryWorld world;
  world.Load(world.m_engine1);
  world.Publish({&world.m_engine1});
  const auto stream = world.Start(world.Completion(true, 4000));
  world.RunUntil([&] { return !stream->m_body.empty(); });
  world.m_daemon->BeginStop();
  world.m_daemon->BeginStop();
  world.RunUntil([&] { return stream->over() && world.m_stopped; });
  CHECK(stream->m_body.find("urn:hickoryloft:problem:draining") !=
        std::string::npos);
}

TEST_CASE("The limit of a planned stop ends running requests") {
  EntryWorld world("drain.limit_ms = 300\n");
  world.Load(world.m_engine1);
  world.Publish({&world.m_engine1});
  const auto stream = world.Start(world.Completion(true, 4000));
  world.RunUntil([&] { return !stream->m_body.empty(); });
  world.m_daemon->BeginStop();
  world.RunUntil([&] { return world.m_stopped; });
  world.RunFor(milliseconds(20));
  CHECK(stream->over());
}

TEST_CASE("Streams continue after the connection to the coordinator is lost") {
  EntryWorld world;
  world.Load(world.m_engine1);
  world.Publish({&world.m_engine1});
  world.m_coordinator.m_valid_for_ms = 0;
  const auto stream = world.Start(world.Completion(true, 100));
  world.RunUntil([&] { return !stream->m_body.empty(); });
  world.m_coordinator.m_answering = false;
  world.m_coordinator.CloseAll();
  world.RunUntil([&] { return stream->over(); });
  CHECK(stream->m_body.ends_with("data: [DONE]\n\n"));
  world.RunUntil([&] { return world.m_coordinator.m_hello_count >= 2; });
}

TEST_CASE("The serving right expires without renewal and is regained") {
  EntryWorld world;
  world.m_coordinator.m_answering = false;
  // The first entry holds a right for 60 s, so another one with a right for
  // 300 ms is used.
  ScriptedCoordinator second_coordinator(world.m_loop);
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
  EntryDaemon daemon(world.m_loop, checked, [](EventLoop&, CoordinatorLink&) {
    return Gates{.m_tokens = std::make_unique<MockTokenGate>(),
                 .m_actions = std::make_unique<MockActionGate>(),
                 .m_returning_tokens = [] { return false; }};
  });
  auto request = world.Completion();
  request.m_endpoint.m_port = daemon.port();
  // While the entry serves, this is refused for its unknown model.
  request.m_body = R"({"model":"nope","prompt":"x"})";
  world.RunFor(milliseconds(100));
  CHECK(world.Run(request).ProblemType() == "unknown-model");
  second_coordinator.m_answering = false;
  world.RunFor(milliseconds(900));
  const SeenAnswer refused = world.Run(request);
  CHECK(refused.ProblemType() == "not-serving");
  CHECK(refused.Json()["outcome"] == "not_run");
  second_coordinator.m_answering = true;
  second_coordinator.m_valid_for_ms = 60000;
  world.RunFor(milliseconds(700));
  CHECK(world.Run(request).ProblemType() == "unknown-model");
}
