#include <catch2/catch.hpp>

#include "Tests/entry/entry_fixture.h"

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
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  const ReceivedAnswer answer = fixture.Run(fixture.Completion(true, 12));
  CHECK(answer.StreamText() == TokenText(12));
  CHECK(answer.m_body.ends_with("data: [DONE]\n\n"));
  CHECK(*endpoint::FindHeader(answer.m_head.m_headers, "Content-Type") ==
        "text/event-stream");
}

TEST_CASE("An interrupted stream resumes without lost or duplicate tokens") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.LoadModel(fixture.m_engine2);
  fixture.PublishEndpoints({&fixture.m_engine1, &fixture.m_engine2});
  for (const int cut_after : {1, 5, 11}) {
    for (auto* engine : {&fixture.m_engine1, &fixture.m_engine2}) {
      engine->SetFaults(
          {{"cut_stream_after_tokens", cut_after}, {"cut_streams", 1}});
    }
    const ReceivedAnswer answer = fixture.Run(fixture.Completion(true, 12));
    CHECK(answer.StreamText() == TokenText(12));
    CHECK(answer.m_body.find("[DONE]") == answer.m_body.rfind("[DONE]"));
  }
  CHECK(fixture.Metric("loft_entry_resumes_total") >= 3);
}

TEST_CASE("A stream that cannot be resumed ends with a typed error") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  fixture.m_engine1.SetFaults(
      {{"cut_stream_after_tokens", 2}, {"cut_streams", 100}});
  const ReceivedAnswer answer = fixture.Run(fixture.Completion(true, 50));
  CHECK(answer.m_done);
  CHECK(answer.m_body.find("event: error") != std::string::npos);
  CHECK(answer.m_body.find("urn:hickoryloft:problem:endpoint-failed") !=
        std::string::npos);
  CHECK(answer.m_body.find("[DONE]") == std::string::npos);
}

TEST_CASE("A withdrawn key ends its stream and is rejected afterwards") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  const auto own_stream = fixture.Start(fixture.Completion(true, 400));
  const auto other_stream =
      fixture.Start(fixture.Completion(true, 40, kOtherKey));
  fixture.RunUntil([&] {
    return !own_stream->m_body.empty() && !other_stream->m_body.empty();
  });
  fixture.m_coordinator.SetDocument(DocumentText(/*with_key=*/false));
  fixture.RunUntil([&] { return own_stream->ended(); });
  CHECK(own_stream->m_body.find("urn:hickoryloft:problem:key-withdrawn") !=
        std::string::npos);
  CHECK(fixture.Run(fixture.Completion()).ProblemType() == "unauthenticated");
  fixture.RunUntil([&] { return other_stream->ended(); });
  CHECK(other_stream->StreamText() == TokenText(40));
  // An older revision does not make the key valid again.
  fixture.m_coordinator.m_revision -= 2;
  fixture.m_coordinator.SetDocument(DocumentText());
  fixture.RunFor(milliseconds(50));
  CHECK(fixture.Run(fixture.Completion()).ProblemType() == "unauthenticated");
}

TEST_CASE("A disconnect frees the engine and refunds the unused tokens") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  const auto answer = fixture.Start(fixture.Completion(true, 4000));
  fixture.RunUntil([&] { return !answer->m_body.empty(); });
  fixture.Disconnect(answer);
  fixture.RunUntil([&] { return fixture.m_refunded > 3000; });
  CHECK(fixture.Metric("loft_entry_callers_left_total") == 1);
  CHECK(fixture.Run(fixture.Completion()).m_head.m_status == 200);
}
