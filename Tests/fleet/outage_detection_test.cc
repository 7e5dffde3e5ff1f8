// Whether a deleted registration counts as a departure or as a lapse, by what
// the host knows of the service at that time.

#include <catch2/catch.hpp>
#include <thread>

#include "Tests/fleet/manual_key_value_service.h"
#include "Tests/fleet/plain_decoder.h"
#include "fleet/fleet_state_feed.h"

using namespace hickoryloft;
using namespace hickoryloft::fleet;

namespace {

const EndpointId kEndpoint("a");
constexpr Duration kReportInterval = milliseconds(250);
constexpr Duration kStep = milliseconds(10);
// The longest intervals of a host that no other host depends on.
constexpr Duration kBatchPause = milliseconds(1200);
constexpr Duration kPollWait = milliseconds(1500);
// Allowance for a busy machine.
constexpr Duration kSlack = milliseconds(400);

// A host with one registered endpoint, and its view of the service.
struct Host {
  Host() {
    m_service.Put("config", "1");
    m_service.Put("e/a", "fine");
    m_feed.SetBatchPause(kBatchPause);
    m_feed.SetPollWait(kPollWait);
    m_feed.Start();
  }

  // Runs the loop until `done` returns true, or for `limit`.
  void RunUntil(const std::function<bool()>& done, Duration limit) {
    const auto end = m_loop.After(limit, [this] { m_loop.Stop(); });
    const auto step = m_loop.Every(kStep, [&] {
      if (done()) {
        m_loop.Stop();
      }
    });
    m_loop.Run();
  }
  void RunFor(Duration time) {
    RunUntil([] { return false; }, time);
  }
  // The service answers the host's own watch.
  void AnswerWatch() {
    m_service.m_changed(m_service.After(m_feed.revision(), m_loop.Now()));
  }
  // The host receives reports of a relay whose view stays as of `as_of`, until
  // it asks the service itself.
  void ReceiveOldProofs(MonotonicTime as_of) {
    const Revision revision = m_feed.revision();
    m_feed.ApplyProof(revision, as_of);
    REQUIRE(m_service.m_paused);
    const auto reports = m_loop.Every(
        kReportInterval, [&] { m_feed.ApplyProof(revision, as_of); });
    RunUntil([this] { return !m_service.m_paused; }, seconds(5));
    REQUIRE_FALSE(m_service.m_paused);
  }
  bool Knows(const EndpointId& id) const {
    return m_feed.directory().Find(id) != nullptr;
  }
  // Whether an exit of the endpoint now can be that of one that has left.
  bool MayHaveFinished(const EndpointId& id, Duration service_time) const {
    return m_feed.departures().MayHaveFinished(id, 0, m_loop.Now(),
                                               service_time);
  }

  EventLoop m_loop;
  ManualKeyValueService m_service;
  PlainDecoder m_decoder;
  FleetStateFeed m_feed{m_loop,
                        m_service,
                        m_decoder,
                        {.m_configuration_changed = [] {},
                         .m_endpoint_changed = [](const EndpointId&) {},
                         .m_own_keys_changed = [] {}}};
};

}  // namespace

// Guards against requests to an endpoint that has left, from hosts whose relay
// had lost the service (DRAIN on jarro-ne-large and bdpc-loft-grown).
TEST_CASE("An outage of the relay alone does not delay a departure") {
  Host host;
  host.ReceiveOldProofs(host.m_loop.Now());
  host.m_service.Delete("e/a");
  host.AnswerWatch();
  CHECK_FALSE(host.Knows(kEndpoint));
}

// Guards against requests to an endpoint that has left, from hosts that hear of
// it after its bound because they wait for their relay (DRAIN).
TEST_CASE("A host asks the service itself before its view is too old") {
  Host host;
  const Duration limit = GENERATE(milliseconds(800), milliseconds(2000));
  host.m_feed.SetMaxRelayedAge(limit);
  const MonotonicTime as_of = host.m_loop.Now();
  host.ReceiveOldProofs(as_of);
  CHECK(host.m_loop.Now() - as_of < limit + kSlack);
}

// Guards against requests to an endpoint that has left (DRAIN): a quiet service
// answers only after a pause and a wait.
TEST_CASE("A service without changes is not taken for one that is away") {
  Host host;
  host.AnswerWatch();
  host.RunFor(kBatchPause + kPollWait + milliseconds(100));
  host.m_service.Delete("e/a");
  host.AnswerWatch();
  CHECK_FALSE(host.Knows(kEndpoint));
}

// Guards against requests to an endpoint that left while the host was
// suspended: the silence was the host's own.
TEST_CASE("A suspension of the host is not an outage of the service") {
  Host host;
  host.AnswerWatch();
  host.RunFor(milliseconds(300));
  std::this_thread::sleep_for(milliseconds(3500));
  const bool timers_first = GENERATE(false, true);
  if (timers_first) {
    host.RunFor(milliseconds(20));
  }
  host.m_service.Delete("e/a");
  host.AnswerWatch();
  CHECK_FALSE(host.Knows(kEndpoint));
}

// Guards against requests that are refused for an old view although the service
// works (knowledge_too_old, process_jarro): the age of a batch is counted from
// its call, which may have waited long for a change.
TEST_CASE("The copy grows no older than a pause and a wait") {
  Host host;
  host.AnswerWatch();
  CHECK(host.m_service.m_poll_wait > kPollWait - kSlack);
  const MonotonicTime called_at = host.m_loop.Now();
  host.RunFor(milliseconds(1000));
  host.m_service.Put("e/a", "fine");
  host.m_service.m_changed(
      host.m_service.After(host.m_feed.revision(), called_at));
  const MonotonicTime next_call_at = host.m_loop.Now() + kBatchPause;
  const auto greatest_age = [&] {
    return next_call_at + host.m_service.m_poll_wait - called_at;
  };
  CHECK(greatest_age() < kBatchPause + kPollWait + milliseconds(10));
  host.RunFor(kBatchPause / 2);
  host.m_feed.SetPollWait(kPollWait);  // As the host does regularly.
  CHECK(greatest_age() < kBatchPause + kPollWait + milliseconds(10));
}

TEST_CASE("A resumed watch asks without a wait") {
  Host host;
  host.m_feed.SetMaxRelayedAge(milliseconds(300));
  host.ReceiveOldProofs(host.m_loop.Now());
  CHECK(host.m_service.m_poll_wait == Duration{});
  host.AnswerWatch();
  CHECK(host.m_service.m_poll_wait > kPollWait - kSlack);
}

// The counterpart: what must go on working when the service itself was away.
TEST_CASE("A registration that lapsed in an outage is kept") {
  Host host;
  host.AnswerWatch();
  host.RunFor(milliseconds(3500));  // No answer of the service.
  host.m_service.Delete("e/a");
  host.AnswerWatch();
  CHECK(host.Knows(kEndpoint));
  SECTION("until the endpoint registers again") {
    host.m_service.Put("e/a", "fine");
    host.AnswerWatch();
    host.RunFor(milliseconds(2500));
    CHECK(host.Knows(kEndpoint));
  }
  SECTION("for about two seconds") {
    host.RunFor(milliseconds(2500));
    CHECK_FALSE(host.Knows(kEndpoint));
  }
}

// Guards against requests to an endpoint that left after the service was back
// (DRAIN): each host counted the grace period from its own receipt.
TEST_CASE("A lapsed registration is kept from the service's return on") {
  Host host;
  host.AnswerWatch();
  host.RunFor(milliseconds(3500));  // No answer of the service.
  host.AnswerWatch();
  const MonotonicTime returned_at = host.m_loop.Now();
  const Duration heard_after = GENERATE(milliseconds(1200), milliseconds(2200));
  host.RunFor(heard_after);
  host.m_service.Delete("e/a");
  host.AnswerWatch();
  host.RunUntil([&] { return !host.Knows(kEndpoint); }, seconds(5));
  CHECK(host.m_loop.Now() - returned_at <
        std::max<Duration>(seconds(2), heard_after) + kSlack);
}

// Guards against a planned exit that is taken for a crash (LOST, review/10), of
// an endpoint that never reports that it leaves.
TEST_CASE("A removed registration is a departure, a lapsed one is none yet") {
  Host host;
  host.AnswerWatch();
  SECTION("removed") {
    host.m_service.Delete("e/a");
    host.AnswerWatch();
    CHECK(host.MayHaveFinished(kEndpoint, Duration{}));
    CHECK_FALSE(host.MayHaveFinished(kEndpoint, seconds(2)));
  }
  SECTION("lapsed") {
    host.RunFor(milliseconds(3500));  // No answer of the service.
    host.m_service.Delete("e/a");
    host.AnswerWatch();
    CHECK_FALSE(host.MayHaveFinished(kEndpoint, Duration{}));
    host.RunFor(milliseconds(2500));
    CHECK(host.MayHaveFinished(kEndpoint, seconds(2)));
  }
  SECTION("announced in an answer") {
    host.m_feed.MarkLeaving(kEndpoint, 0, "answer");
    CHECK(host.MayHaveFinished(kEndpoint, seconds(2)));
  }
}
