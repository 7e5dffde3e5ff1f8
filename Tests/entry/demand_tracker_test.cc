#include "entry/demand_tracker.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <optional>

#include "entry/serving_right.h"
#include "wire/frame.h"

using namespace hickoryloft;
using namespace hickoryloft::entry;

namespace {

using trompeloeil::_;

class MockLink : public CoordinatorLink {
 public:
  MAKE_MOCK3(Request,
             void(wire::EnvelopeT, Duration, wire::ReplyCallback),
             override);
  MAKE_CONST_MOCK0(connected, bool(), override);
};

struct WaitOutcome {
  std::optional<DemandResult> m_result;
};

DemandWait MakeWait(EventLoop& loop,
                    std::uint64_t id,
                    Duration patience,
                    WaitOutcome& outcome) {
  return {.m_id = id,
          .m_served_name = "s/m@1",
          .m_artifact = {.m_model = ModelId("s/m"), .m_version = "1"},
          .m_account = ClientAccountId("s/a"),
          .m_deadline = loop.Now() + patience,
          .m_callback = [&outcome](const DemandResult& result) {
            CHECK_FALSE(outcome.m_result);
            outcome.m_result = result;
          }};
}

wire::EnvelopeT Refusal() {
  wire::DemandReplyT reply;
  reply.verdict = wire::DemandVerdict::Refused;
  reply.retry_after_ms = 700;
  return wire::MakeEnvelope(reply);
}

}  // namespace

TEST_CASE("A refusal does not end a wait with a later deadline") {
  EventLoop loop;
  MockLink link;
  DemandTracker tracker(loop, link);
  std::vector<wire::ReplyCallback> callbacks;
  ALLOW_CALL(link, Request(_, _, _)).LR_SIDE_EFFECT(callbacks.push_back(_3));
  WaitOutcome short_wait;
  WaitOutcome long_wait;
  WaitOutcome cancelled_wait;
  tracker.Wait(MakeWait(loop, 1, milliseconds(500), short_wait));
  tracker.Wait(MakeWait(loop, 2, seconds(50), long_wait));
  tracker.Wait(MakeWait(loop, 3, seconds(50), cancelled_wait));
  tracker.Cancel(3);
  REQUIRE(callbacks.size() == 1);
  callbacks[0](Refusal());
  REQUIRE(short_wait.m_result);
  CHECK_FALSE(short_wait.m_result->m_ready);
  CHECK(short_wait.m_result->m_retry_after == milliseconds(700));
  CHECK_FALSE(long_wait.m_result);
  REQUIRE(callbacks.size() == 2);
  tracker.OnEndpointsChanged([](const std::string&) { return true; });
  CHECK(long_wait.m_result->m_ready);
  CHECK_FALSE(cancelled_wait.m_result);
  callbacks[1](Refusal());
  CHECK(tracker.waiting() == 0);
}

TEST_CASE("Demands are repeated while the coordinator is unreachable") {
  EventLoop loop;
  MockLink link;
  DemandTracker tracker(loop, link);
  int request_count = 0;
  ALLOW_CALL(link, Request(_, _, _))
      .LR_SIDE_EFFECT(++request_count)
      .SIDE_EFFECT(_3(Error(ErrorCode::kUnavailable, "lost")));
  WaitOutcome outcome;
  tracker.Wait(MakeWait(loop, 1, seconds(50), outcome));
  const auto stop = loop.After(milliseconds(350), [&] { loop.Stop(); });
  loop.Run();
  CHECK(request_count >= 3);
  CHECK_FALSE(outcome.m_result);
  tracker.Cancel(1);
}

TEST_CASE("The permission to serve is valid from the time of its query") {
  EventLoop loop;
  MockLink link;
  Revision revision = 7;
  int behind = 0;
  ServingRight right(loop, link,
                     {.m_revision = [&] { return revision; },
                      .m_documents_outdated = [&] { ++behind; }});
  ALLOW_CALL(link, connected()).RETURN(true);
  std::vector<wire::ReplyCallback> callbacks;
  ALLOW_CALL(link, Request(_, _, _)).LR_SIDE_EFFECT(callbacks.push_back(_3));
  wire::ServingReplyT reply;
  reply.valid_for_ms = 100;
  reply.documents_revision = 7;
  const MonotonicTime sent = loop.Now();
  right.Renew();
  CHECK_FALSE(right.Valid(sent));
  const auto later = loop.After(milliseconds(40), [&] { loop.Stop(); });
  loop.Run();
  callbacks.at(0)(wire::MakeEnvelope(reply));
  CHECK(right.Valid(sent + milliseconds(99)));
  CHECK_FALSE(right.Valid(sent + milliseconds(130)));
  // No permission while the coordinator has newer documents.
  reply.valid_for_ms = 60000;
  reply.documents_revision = 8;
  right.Renew();
  callbacks.at(1)(wire::MakeEnvelope(reply));
  CHECK(behind == 1);
  CHECK_FALSE(right.Valid(sent + seconds(1)));
}
