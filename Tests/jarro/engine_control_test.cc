#include "platform/engine_control.h"

#include <catch2/catch.hpp>
#include <optional>

#include "Tests/endpoint/scripted_endpoint.h"

using namespace hickoryloft;
using namespace hickoryloft::endpoint;
using namespace hickoryloft::jarro;

// Regression test: the copy of an answer to a caller's request was taken for
// the answer to an order, which the engine had accepted.
TEST_CASE("An answer to a request does not answer an order") {
  EventLoop loop;
  ScriptedEndpoint engine(loop);
  PooledHttpClient client(loop);
  BufferBudget answers(std::size_t{1} << 20);
  EngineControl control(loop, client, answers);
  engine.m_copies_answers = true;
  engine.m_scripts = {
      "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"};
  Run(loop, client, engine, "r1");
  std::optional<fleet::OrderOutcome> outcome;
  control.SendOrder(engine.Address(), {}, [&](fleet::OrderOutcome order) {
    outcome = order;
    loop.Stop();
  });
  const auto limit = loop.After(kTestLimit, [&] { loop.Stop(); });
  loop.Run();
  CHECK(outcome == fleet::OrderOutcome::kAccepted);
}
