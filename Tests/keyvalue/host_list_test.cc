#include <catch2/catch.hpp>

#include "StandIns/platform_stand_in.h"
#include "Tests/keyvalue/test_loop.h"
#include "keyvalue/host_list_json.h"
#include "keyvalue/http_host_list.h"
#include "keyvalue/static_host_list.h"

using namespace hickoryloft;
using namespace hickoryloft::keyvalue;
using test::Await;

namespace {

using Targets = std::vector<ListedTarget>;

Result<Targets> Fetch(EventLoop& loop, HostList& list) {
  return Await<Targets>(loop, [&](auto done) { list.Fetch(done); });
}

}  // namespace

TEST_CASE("The service-discovery format is parsed into targets") {
  const auto targets = ParseHostList(R"([
      {"targets": ["10.0.0.1:80", "10.0.0.2:80"],
       "labels": {"role": "engine", "failure_domain": "north"}},
      {"targets": ["10.0.0.3:81"],
       "labels": {"name": "ledger-1", "role": "service", "service": "ledger",
                  "leaving": "true"}}])");
  REQUIRE(targets.size() == 3);
  CHECK(targets[1].m_name == "10.0.0.2:80");
  CHECK(targets[1].m_failure_domain == FailureDomainId("north"));
  CHECK_FALSE(targets[1].m_leaving);
  CHECK(targets[2].m_role == ListedRole::kService);
  CHECK(targets[2].m_port == 81);
  CHECK(targets[2].m_leaving);
}

TEST_CASE("A malformed host list is rejected as a whole") {
  for (const char* text :
       {"", "{", "3", R"([{"targets": "x"}])",
        R"([{"targets": ["10.0.0.1:0"], "labels": {"role": "host"}}])",
        R"([{"targets": ["10.0.0.1"], "labels": {"role": "host"}}])",
        R"([{"targets": ["10.0.0.1:1"], "labels": {"role": "printer"}}])",
        R"([{"targets": ["10.0.0.1:1"], "labels": {"role": 1}}])"}) {
    INFO(text);
    CHECK_THROWS_AS(ParseHostList(text), Error);
  }
}

TEST_CASE("The list is fetched over HTTP and may change") {
  EventLoop loop;
  standins::PlatformStandIn server(loop, {});
  HttpHostList list(loop, {.m_address = "127.0.0.1",
                           .m_port = server.port(),
                           .m_timeout = milliseconds(200)});
  CHECK(Fetch(loop, list).value().empty());
  HttpClient operators(loop,
                       {.m_address = "127.0.0.1", .m_port = server.port()});
  const auto posted = Await<HttpReply>(loop, [&](auto done) {
    operators.Send(
        {.m_path = "/hosts",
         .m_body = R"([{"targets":["10.0.0.1:1"],"labels":{"role":"host"}}])"},
        done);
  });
  CHECK(posted.value().m_status == 200);
  CHECK(Fetch(loop, list).value().size() == 1);
  server.SetFaults({{"outage", true}});
  CHECK(Fetch(loop, list).error().code() == ErrorCode::kUnavailable);
  server.SetFaults({{"outage", "hang"}});
  CHECK(Fetch(loop, list).error().code() == ErrorCode::kTimedOut);
}

TEST_CASE("A static list returns the targets of the settings") {
  EventLoop loop;
  StaticHostList list(
      loop, {ParseTargetSetting(
                "name=e1 role=engine address=10.0.0.1:9 failure_domain=n")});
  const auto targets = Fetch(loop, list).value();
  REQUIRE(targets.size() == 1);
  CHECK(targets[0].m_name == "e1");
  CHECK(targets[0].m_port == 9);
  CHECK_THROWS_AS(ParseTargetSetting("role=engine"), Error);
  CHECK_THROWS_AS(ParseTargetSetting("engine"), Error);
}
