// Runs the load tool against a small evhttp server in the same process.

#include "tools/load/load_run.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include <netinet/in.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "endpoint/pooled_http_client.h"

namespace hickoryloft::tools {
namespace {

constexpr int kServiceUnavailable = 503;

// Completes requests of the account "good" and refuses the others.
void HandleRequest(evhttp_request* request, void* /*unused*/) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  const char* key = evhttp_find_header(headers, "Authorization");
  const char* id = evhttp_find_header(headers, "X-Request-Id");
  evhttp_add_header(evhttp_request_get_output_headers(request), "X-Request-Id",
                    id);
  evbuffer* body = evbuffer_new();
  if (key != nullptr && std::string(key) == "Bearer sesame") {
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "text/event-stream");
    evbuffer_add_printf(body, "data: {}\n\ndata: {}\n\ndata: [DONE]\n\n");
    evhttp_send_reply(request, HTTP_OK, "OK", body);
  } else {
    evbuffer_add_printf(body, R"({"type":"urn:hickoryloft:problem:full"})");
    evhttp_send_reply(request, kServiceUnavailable, "Busy", body);
  }
  evbuffer_free(body);
}

TEST_CASE("A run counts completions, tokens and refusals by type") {
  EventLoop loop;
  evhttp* server = evhttp_new(loop.base());
  evhttp_set_gencb(server, &HandleRequest, nullptr);
  evhttp_bound_socket* bound =
      evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
  sockaddr_in address{};
  socklen_t length = sizeof address;
  getsockname(evhttp_bound_socket_get_fd(bound),
              reinterpret_cast<sockaddr*>(&address), &length);
  Scenario scenario{
      .m_targets = {ParseLoopback("127.0.0.1:" +
                                  std::to_string(ntohs(address.sin_port)))},
      .m_keys = {{"good", "sesame"}, {"bad", "guess"}}};
  for (const char* account : {"good", "bad"}) {
    scenario.m_flows.push_back({.m_name = account,
                                .m_account = account,
                                .m_requests_per_second = 200,
                                .m_models = {"a", "b"},
                                .m_stream = true});
  }
  endpoint::PooledHttpClient client(loop);
  LoadRun run(loop, client, scenario,
              {.m_duration = seconds(20), .m_max_requests = 100});
  run.Start([&loop] { loop.Stop(); });
  loop.Run();
  evhttp_free(server);

  const auto json = nlohmann::json::parse(run.report().ToJson(run.elapsed()));
  REQUIRE(json["requests"] == 100);
  const auto& good = json["accounts"]["good"];
  const auto& bad = json["accounts"]["bad"];
  REQUIRE(good["completed"] == good["requests"]);
  REQUIRE(good["tokens"] == 2 * good["requests"].get<int>());
  REQUIRE(bad["completed"] == 0);
  REQUIRE(bad["outcomes"]["full"] == bad["requests"]);
}

TEST_CASE("Only loopback targets are accepted") {
  REQUIRE(ParseLoopback("127.0.0.2:80").m_port == 80);
  for (const char* text : {"10.0.0.1:80", "localhost:80", "127.0.0.1",
                           "127.0.0.1:0", "127.0.0.1:99999"}) {
    REQUIRE_THROWS_AS(ParseLoopback(text), Error);
  }
}

TEST_CASE("Quantiles are exact") {
  std::vector<Duration> durations;
  for (int value = 100; value >= 1; --value) {
    durations.emplace_back(milliseconds(value));
  }
  REQUIRE(QuantileOf(durations, 0.5) == milliseconds(50));
  REQUIRE(QuantileOf(durations, 0.99) == milliseconds(99));
}

}  // namespace
}  // namespace hickoryloft::tools
