#include "platform/engine_control.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "Tests/endpoint/scripted_endpoint.h"

using namespace hickoryloft;
using namespace hickoryloft::endpoint;
using namespace hickoryloft::jarro;

namespace {

constexpr char kRefusal[] =
    "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";
constexpr char kConflict[] =
    "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
constexpr char kAccepted[] =
    "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

constexpr char kReport[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n"
    "{\"seq\":7,\"models\":[]}";

struct Fixture {
  EventLoop m_loop;
  ScriptedEndpoint m_engine{m_loop};
  PooledHttpClient m_client{m_loop};
  BufferBudget m_answers{std::size_t{1} << 20};
  EngineControl m_control{m_loop, m_client, m_answers};

  std::optional<fleet::OrderOutcome> SendOrder() {
    std::optional<fleet::OrderOutcome> outcome;
    m_control.SendOrder(m_engine.Address(), {}, [&](fleet::OrderOutcome order) {
      outcome = order;
      m_loop.Stop();
    });
    const auto limit = m_loop.After(kTestLimit, [&] { m_loop.Stop(); });
    m_loop.Run();
    return outcome;
  }
};

}  // namespace

// Regression test: the copy of an answer to a caller's request was taken for
// the answer to an order or for a report.
TEST_CASE("An answer to a request answers no order and is no report") {
  Fixture test;
  test.m_engine.m_copies_answers = true;
  SECTION("an order") {
    test.m_engine.m_scripts = {kRefusal, kAccepted};
    Run(test.m_loop, test.m_client, test.m_engine, "r1");
    CHECK(test.SendOrder() == fleet::OrderOutcome::kAccepted);
  }
  SECTION("a report") {
    test.m_engine.m_scripts = {kRefusal, kReport};
    Run(test.m_loop, test.m_client, test.m_engine, "r1");
    bool read = false;
    test.m_control.ReadReport(test.m_engine.Address(),
                              [&](const Result<fleet::EngineReport>& report) {
                                read = report.ok() &&
                                       report.value().m_accepted_orders == 7;
                                test.m_loop.Stop();
                              });
    const auto limit =
        test.m_loop.After(kTestLimit, [&] { test.m_loop.Stop(); });
    test.m_loop.Run();
    CHECK(read);
    CHECK(test.m_engine.connections() == 1);
  }
}

// Guards against an order that is taken for accepted because the answer to an
// earlier one, which had no id, came twice.
TEST_CASE("The copy of an answer to an order does not answer the next one") {
  Fixture test;
  test.m_engine.m_copies_answers = true;
  test.m_engine.m_scripts = {kAccepted, kConflict};
  CHECK(test.SendOrder() == fleet::OrderOutcome::kAccepted);
  CHECK(test.SendOrder() == fleet::OrderOutcome::kConflict);
}
