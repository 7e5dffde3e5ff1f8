#include <catch2/catch.hpp>

#include "Tests/entry/entry_world.h"

using namespace hickoryloft;
using namespace hickoryloft::entry;

namespace {

std::string TokenText(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) {
    text += "t" + std::to_string(i) + " ";
  }
  return text;
}

}  // namespace

TEST_CASE("A stream is relayed completely") {
  EntryWorld world;
  world.Load(world.m_engine1);
  world.Publish({&world.m_engine1});
  const SeenAnswer answer = world.Run(world.Completion(true, 12));
  CHECK(answer.StreamText() == TokenText(12));
  CHECK(answer.m_body.ends_with("data: [DONE]\n\n"));
  CHECK(*endpoint::FindHeader(answer.m_head.m_headers, "Content-Type") ==
        "text/event-stream");
}

TEST_CASE("An interrupted stream resumes without lost or duplicate tokens") {
  EntryWorld world;
  world.Load(world.m_engine1);
  world.Load(world.m_engine2);
  world.Publish({&world.m_engine1, &world.m_engine2});
  for (const int cut_after : {1, 5, 11}) {
    for (auto* engine : {&world.m_engine1, &world.m_engine2}) {
      engine->SetFaults(
          {{"cut_stream_after_tokens", cut_after}, {"cut_streams", 1}});
    }
    const SeenAnswer answer = world.Run(world.Completion(true, 12));
    CHECK(answer.StreamText() == TokenText(12));
    CHECK(answer.m_body.find("[DONE]") == answer.m_body.rfind("[DONE]"));
  }
  CHECK(world.Metric("loft_entry_resumes_total") >= 3);
}

TEST_CASE("A stream that cannot be resumed ends with a typed error") {
  EntryWorld world;
  world.Load(world.m_engine1);
  world.Publish({&world.m_engine1});
  world.m_engine1.SetFaults(
      {{"cut_stream_after_tokens", 2}, {"cut_streams", 100}});
  const SeenAnswer answer = world.Run(world.Completion(true, 50));
  CHECK(answer.m_done);
  CHECK(answer.m_body.find("event: error") != std::string::npos);
  CHECK(answer.m_body.find("urn:hickoryloft:problem:endpoint-failed") !=
        std::string::npos);
  CHECK(answer.m_body.find("[DONE]") == std::string::npos);
}

TEST_CASE("A withdrawn key ends its stream and is rejected afterwards") {
  EntryWorld world;
  world.Load(world.m_engine1);
  world.Publish({&world.m_engine1});
  const auto own_stream = world.Start(world.Completion(true, 400));
  const auto other_stream = world.Start(world.Completion(true, 40, kOtherKey));
  world.RunUntil([&] {
    return !own_stream->m_body.empty() && !other_stream->m_body.empty();
  });
  world.m_coordinator.SetDocument(DocumentText(/*with_key=*/false));
  world.RunUntil([&] { return own_stream->over(); });
  CHECK(own_stream->m_body.find("urn:hickoryloft:problem:key-withdrawn") !=
        std::string::npos);
  CHECK(world.Run(world.Completion()).ProblemType() == "unauthenticated");
  world.RunUntil([&] { return other_stream->over(); });
  CHECK(other_stream->StreamText() == TokenText(40));
  // An older revision does not make the key valid again.
  world.m_coordinator.m_revision -= 2;
  world.m_coordinator.SetDocument(DocumentText());
  world.RunFor(milliseconds(50));
  CHECK(world.Run(world.Completion()).ProblemType() == "unauthenticated");
}

TEST_CASE("A disconnect frees the engine and refunds the unused tokens") {
  EntryWorld world;
  world.Load(world.m_engine1);
  world.Publish({&world.m_engine1});
  const auto answer = world.Start(world.Completion(true, 4000));
  world.RunUntil([&] { return !answer->m_body.empty(); });
  world.Leave(answer);
  world.RunUntil([&] { return world.m_refunded > 3000; });
  CHECK(world.Metric("loft_entry_callers_left_total") == 1);
  CHECK(world.Run(world.Completion()).m_head.m_status == 200);
}
