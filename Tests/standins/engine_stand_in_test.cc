#include "StandIns/engine_stand_in.h"

#include <catch2/catch.hpp>

#include "StandIns/store_stand_in.h"
#include "Tests/standins/stand_in_client.h"

using namespace hickoryloft;
using namespace hickoryloft::standins;
using nlohmann::json;
using test::RunUntil;

namespace {

json LoadOrder(int number,
               const std::string& model,
               const std::string& adapter) {
  return {{"kind", "load"}, {"number", number},   {"scope", "placement/0"},
          {"fence", 1},     {"model", model},     {"adapter", adapter},
          {"version", "1"}, {"bytes", 1'000'000}, {"peak_bytes", 2'000'000}};
}

struct Fixture {
  EventLoop m_loop;
  StoreStandIn m_store{m_loop, {}, {}};
  EngineStandIn m_engine{m_loop,
                         {},
                         {.m_memory_bytes = 10'000'000,
                          .m_store = ListenAddress{.m_port = m_store.port()},
                          .m_decode = {.m_tokens_per_second_per_stream = 500}}};
  test::StandInClient m_client{m_loop, m_engine.port()};

  void LoadModel() {
    REQUIRE(
        m_client.Post("/orders", LoadOrder(1, "s/m", "")).value().m_status ==
        202);
    RunUntil(m_loop, [&] {
      return m_engine.Record()["loads_executed"].get<int>() == 1;
    });
  }
  // Returns all bytes of a stream, up to its end.
  std::string Stream(int max_tokens, int resume_from) {
    std::string text;
    bool ended = false;
    const json body = {{"model", "s/m@1"},
                       {"prompt", "a b"},
                       {"max_tokens", max_tokens},
                       {"stream", true}};
    const auto stream = m_client.http().Stream(
        {.m_path = "/v1/completions",
         .m_body = body.dump(),
         .m_headers = {{"X-Request-Id", "r"},
                       {"X-Resume-From", std::to_string(resume_from)}}},
        seconds(5), [&](const std::string& bytes) { text += bytes; },
        [&](const Error&) { ended = true; });
    RunUntil(m_loop, [&] { return ended; });
    return text;
  }
};

json ParseBody(const Result<keyvalue::HttpReply>& reply) {
  return json::parse(reply.value().m_body);
}

int CountOccurrences(const std::string& text, const std::string& part) {
  int count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

TEST_CASE("Completions get 404 unless the model is loaded") {
  Fixture f;
  const json request = {
      {"model", "s/m@1"}, {"prompt", "a b c"}, {"max_tokens", 3}};
  const auto refused = f.m_client.Post("/v1/completions", request);
  CHECK(refused.value().m_status == 404);
  CHECK(ParseBody(refused)["error"]["code"] == "model_not_loaded");
  f.LoadModel();
  const auto reply =
      f.m_client.Post("/v1/completions", request, {{"X-Request-Id", "r1"}});
  CHECK(ParseBody(reply)["choices"][0]["text"] == "t0 t1 t2 ");
  CHECK(ParseBody(reply)["usage"]["prompt_tokens"] == 3);
  CHECK(ParseBody(reply)["usage"]["completion_tokens"] == 3);
  CHECK(ParseBody(reply)["id"] == "r1");
  CHECK(f.m_store.Record()["loads"] == 1);
}

TEST_CASE("A cut stream resumes from its offset") {
  Fixture f;
  f.LoadModel();
  f.m_engine.SetFaults({{"cut_stream_after_tokens", 2}});
  const std::string first = f.Stream(5, 0);
  CHECK(CountOccurrences(first, "\"text\":\"t") == 2);
  CHECK(CountOccurrences(first, "[DONE]") == 0);
  const std::string rest = f.Stream(5, 2);
  CHECK(CountOccurrences(rest, "\"t0 ") + CountOccurrences(rest, "\"t1 ") == 0);
  CHECK(CountOccurrences(rest, "\"t2 ") == 1);
  CHECK(CountOccurrences(rest, "\"t4 ") == 1);
  CHECK(CountOccurrences(rest, "\"completion_tokens\":3") == 1);
  CHECK(CountOccurrences(rest, "data: [DONE]\n\n") == 1);
}

TEST_CASE("An order whose reply is lost is executed once") {
  Fixture f;
  f.m_engine.SetFaults({{"drop_replies", 1}});
  CHECK(f.m_client.Post("/orders", LoadOrder(1, "s/m", "")).error().code() ==
        ErrorCode::kOutcomeUnknown);
  CHECK(f.m_client.Post("/orders", LoadOrder(1, "s/m", "")).value().m_status ==
        202);
  f.m_client.Poll("/inventory", [](const json& inventory) {
    return inventory["items"][0]["phase"] == "ready";
  });
  CHECK(f.m_engine.Record()["loads_executed"] == 1);
  CHECK(f.m_engine.Record()["most_bytes"] == 2'000'000);
  CHECK(f.m_client.Get("/inventory")["last_order_number"] == 1);
}

TEST_CASE(
    "Fences raise the lowest accepted number; engines without fencing say so") {
  Fixture f;
  const json fence = {{"scope", "placement/0"}, {"fence", 7}};
  CHECK(f.m_client.Post("/fences", fence).value().m_status == 200);
  CHECK(f.m_client.Post("/orders", LoadOrder(1, "s/m", "")).value().m_status ==
        409);
  EngineStandIn unfenced_engine(f.m_loop, {}, {.m_ignore_fencing = true});
  test::StandInClient client(f.m_loop, unfenced_engine.port());
  CHECK(client.Post("/fences", fence).value().m_status == 501);
  CHECK(client.Post("/orders", LoadOrder(1, "s/m", "")).value().m_status ==
        202);
}

TEST_CASE(
    "Wrong ids, repeated replies and watched secrets are produced on demand") {
  Fixture f;
  f.LoadModel();
  const auto complete = [&](const std::string& id) {
    return ParseBody(f.m_client.Post(
        "/v1/completions", {{"model", "s/m@1"}, {"max_tokens", 1}},
        {{"X-Request-Id", id}, {"X-Note", "has till-key inside"}}));
  };
  f.m_engine.SetFaults({{"watched_secrets", {"till-key"}}});
  CHECK(complete("r1")["id"] == "r1");
  f.m_engine.SetFaults({{"duplicate_reply", 1}, {"reply_with_wrong_id", 0}});
  CHECK(complete("r2")["id"] == "r1");
  f.m_engine.SetFaults({{"reply_with_wrong_id", 1}});
  CHECK(complete("r3")["id"] == "wrong-r3");
  CHECK(f.m_engine.Record()["requests"]["with_secret"] == 3);
  f.m_engine.SetFaults({{"leaving", true}});
  CHECK(complete("r4")["error"]["code"] == "leaving");
}

TEST_CASE("A closed connection cancels its stream") {
  Fixture f;
  f.LoadModel();
  const json body = {
      {"model", "s/m@1"}, {"max_tokens", 100'000}, {"stream", true}};
  auto stream = f.m_client.http().Stream(
      {.m_path = "/v1/completions", .m_body = body.dump()}, seconds(5),
      [](const std::string&) {}, [](const Error&) {});
  const auto running = [&](int count) {
    f.m_client.Poll("/inventory", [&](const json& inventory) {
      return inventory["running"] == count;
    });
  };
  running(1);
  stream.reset();
  running(0);
}
