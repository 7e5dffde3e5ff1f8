// Two coordinators with mock modules on one in-memory key-value service.

#include "coordinator/coordinator.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "base/hashing.h"
#include "keyvalue/memory_key_value_service.h"
#include "wire/frame.h"

using namespace hickoryloft;
using namespace hickoryloft::coordinator;

namespace {

const ClaimName kClaim = "rate/account/0";

class MockModule : public trompeloeil::mock_interface<Module> {
 public:
  IMPLEMENT_CONST_MOCK0(name);
  IMPLEMENT_CONST_MOCK0(WantedClaims);
  IMPLEMENT_CONST_MOCK0(ActsInOutage);
  IMPLEMENT_CONST_MOCK0(Ready);
  IMPLEMENT_CONST_MOCK1(ClaimFor);
  IMPLEMENT_MOCK3(HandleRequest);
  IMPLEMENT_MOCK2(HandleNotice);
  IMPLEMENT_MOCK3(OnClaimHeld);
  IMPLEMENT_MOCK1(OnClaimLost);
  IMPLEMENT_MOCK1(PrepareHandOver);
  IMPLEMENT_CONST_MOCK1(HasOpenWork);
  IMPLEMENT_MOCK0(OnDocumentsChanged);
  IMPLEMENT_MOCK0(OnMembersChanged);
  IMPLEMENT_MOCK1(OnEntryConnected);
  IMPLEMENT_MOCK1(OnTick);
};

CoordinatorSettings MakeSettings(const std::string& host) {
  return {
      .m_self = {.m_host = HostId(host),
                 .m_incarnation = StableHash(host),
                 .m_failure_domain = FailureDomainId("domain-" + host),
                 .m_address = "127.0.0.1"},
      .m_leases = {.m_short_ttl = seconds(5), .m_long_ttl = seconds(60)},
      .m_claims = {.m_short_ttl = seconds(5), .m_long_ttl = seconds(60)},
      .m_documents = {.m_freshness_limit = seconds(3)},
      .m_stop_limit = seconds(5),
  };
}

// One coordinator whose module requests one claim and grants 7 tokens to each
// TokenDraw.
class TestHost {
 public:
  TestHost(EventLoop& loop,
           keyvalue::KeyValueService& key_values,
           const std::string& host)
      : m_coordinator(loop, key_values, MakeSettings(host)) {
    auto module = std::make_unique<MockModule>();
    MockModule& mock = *module;
    m_expectations.push_back(NAMED_ALLOW_CALL(mock, WantedClaims())
                                 .RETURN(std::vector<ClaimName>{kClaim}));
    m_expectations.push_back(
        NAMED_ALLOW_CALL(mock, ActsInOutage()).RETURN(true));
    m_expectations.push_back(NAMED_ALLOW_CALL(mock, Ready()).RETURN(true));
    m_expectations.push_back(NAMED_ALLOW_CALL(mock, ClaimFor(trompeloeil::_))
                                 .RETURN(_1.body.AsTokenDraw() != nullptr
                                             ? std::optional<ClaimName>(kClaim)
                                             : std::nullopt));
    m_expectations.push_back(
        NAMED_ALLOW_CALL(mock,
                         HandleRequest(kClaim, trompeloeil::_, trompeloeil::_))
            .LR_SIDE_EFFECT(++m_handled_requests)
            .SIDE_EFFECT(wire::TokenGrantT grant; grant.granted = 7;
                         _3(wire::MakeEnvelope(std::move(grant)))));
    m_expectations.push_back(
        NAMED_ALLOW_CALL(mock,
                         OnClaimHeld(kClaim, trompeloeil::_, trompeloeil::_))
            .LR_SIDE_EFFECT(m_fence = _2)
            .LR_SIDE_EFFECT(m_hand_over = _3.value_or("")));
    m_expectations.push_back(NAMED_ALLOW_CALL(mock, OnClaimLost(kClaim)));
    m_expectations.push_back(
        NAMED_ALLOW_CALL(mock, PrepareHandOver(kClaim)).RETURN("seven tokens"));
    m_expectations.push_back(
        NAMED_ALLOW_CALL(mock, HasOpenWork(kClaim)).RETURN(false));
    m_expectations.push_back(NAMED_ALLOW_CALL(mock, OnDocumentsChanged()));
    m_expectations.push_back(NAMED_ALLOW_CALL(mock, OnMembersChanged()));
    m_expectations.push_back(NAMED_ALLOW_CALL(mock, OnTick(trompeloeil::_)));
    std::vector<std::unique_ptr<Module>> modules;
    modules.push_back(std::move(module));
    m_coordinator.SetModules(std::move(modules));
    m_coordinator.Start();
  }

  bool Holds() const { return m_coordinator.HeldFence(kClaim).has_value(); }

  // RequestTokens() sends a TokenDraw to the holder and stores the granted
  // tokens here, unless it fails.
  std::optional<std::uint64_t> m_granted;
  void RequestTokens() {
    m_coordinator.RequestFromHolder(
        kClaim, wire::MakeEnvelope(wire::TokenDrawT{}), seconds(1),
        [this](const Result<wire::EnvelopeT>& result) {
          if (result) {
            m_granted = result.value().body.AsTokenGrant()->granted;
          }
        });
  }

  Coordinator m_coordinator;
  std::size_t m_handled_requests = 0;
  FencingNumber m_fence = 0;
  std::string m_hand_over;

 private:
  std::vector<std::unique_ptr<trompeloeil::expectation>> m_expectations;
};

// Runs the loop until done() is true, for at most ten seconds. Returns done().
bool RunUntil(EventLoop& loop, const std::function<bool()>& done) {
  const MonotonicTime deadline = loop.Now() + seconds(10);
  const auto poll = loop.Every(milliseconds(5), [&] {
    if (done() || loop.Now() >= deadline) {
      loop.Stop();
    }
  });
  loop.Run();
  return done();
}

}  // namespace

TEST_CASE("One host holds a claim, answers for it and hands it over") {
  EventLoop loop;
  keyvalue::MemoryKeyValueService key_values(loop);
  TestHost a(loop, key_values, "a");
  TestHost b(loop, key_values, "b");
  REQUIRE(RunUntil(loop, [&] {
    return (a.Holds() || b.Holds()) && a.m_coordinator.Members().size() == 2 &&
           b.m_coordinator.Members().size() == 2 &&
           a.m_coordinator.Holder(kClaim) && b.m_coordinator.Holder(kClaim);
  }));
  CHECK(a.Holds() != b.Holds());
  TestHost& holder = a.Holds() ? a : b;
  TestHost& other = a.Holds() ? b : a;

  SECTION("A request is forwarded to the holder and its reply is returned") {
    other.RequestTokens();
    REQUIRE(RunUntil(loop, [&] { return other.m_granted.has_value(); }));
    CHECK(*other.m_granted == 7);
    CHECK(holder.m_handled_requests == 1);
    CHECK(other.m_handled_requests == 0);
  }

  SECTION("A planned stop hands over the claim and its state") {
    bool stopped = false;
    holder.m_coordinator.Stop([&] { stopped = true; });
    REQUIRE(RunUntil(loop, [&] { return stopped && other.Holds(); }));
    CHECK(other.m_hand_over == "seven tokens");
    CHECK(other.m_fence > holder.m_fence);
    CHECK_FALSE(holder.Holds());
  }
}

TEST_CASE(
    "A document change reaches all hosts; conflicts and errors are reported") {
  EventLoop loop;
  keyvalue::MemoryKeyValueService key_values(loop);
  TestHost a(loop, key_values, "a");
  TestHost b(loop, key_values, "b");
  REQUIRE(RunUntil(loop, [&] {
    return a.m_coordinator.Ready() && b.m_coordinator.Ready() &&
           a.m_coordinator.Members().size() == 2 &&
           b.m_coordinator.Members().size() == 2;
  }));
  std::vector<WriteReport> reports;
  const auto write = [&](Coordinator& coordinator, Revision expected,
                         std::optional<std::string> text) {
    const std::size_t before = reports.size();
    coordinator.Write(
        {ServiceId("returns"), expected, std::move(text)},
        [&](const WriteReport& report) { reports.push_back(report); });
    REQUIRE(RunUntil(loop, [&] { return reports.size() > before; }));
    return reports.back();
  };

  const std::string text = "default_patience_ms = 5\n";
  const WriteReport created = write(a.m_coordinator, 0, text);
  CHECK(created.m_state == WriteState::kAccepted);
  CHECK(created.m_acknowledged == 2);
  CHECK(b.m_coordinator.Documents().size() == 1);

  const WriteReport conflict = write(b.m_coordinator, 0, text);
  CHECK(conflict.m_state == WriteState::kConflict);
  CHECK(conflict.m_revision == created.m_revision);
  CHECK(write(b.m_coordinator, created.m_revision, "wrong = 1\n").m_state ==
        WriteState::kInvalid);
  CHECK(write(b.m_coordinator, created.m_revision, "").m_state ==
        WriteState::kInvalid);

  CHECK(write(b.m_coordinator, created.m_revision, std::nullopt).m_state ==
        WriteState::kAccepted);
  CHECK(a.m_coordinator.Documents().empty());
}
