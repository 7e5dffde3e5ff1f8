#include "platform/caller_protocol.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::jarro;

namespace {

http::ServerRequest ValidRequest() {
  return {.m_method = "POST",
          .m_target = "/a/b?q=1",
          .m_headers = {{"Host", "h.example"},
                        {"Request-Id", "r1"},
                        {"Deadline-Ms", "1500"},
                        {"Authorization", "Bearer secret"},
                        {"Model", "m1/a2"},
                        {"Token-Usage", "100,20"},
                        {"Prompt-Prefix", "5c:80,91:20"},
                        {"X-Own", "kept"}},
          .m_body = "body"};
}

std::string SentHeader(const endpoint::CallRequest& call, const char* name) {
  const std::string* value = http::FindHeader(call.m_headers, name);
  return value == nullptr ? "absent" : *value;
}

endpoint::CallRequest Forward(const http::ServerRequest& request) {
  const CallerProtocol protocol;
  fleet::CallerRequest decoded = protocol.DecodeRequest(request);
  return protocol.EncodeCall(decoded,
                             {.m_endpoint = {EndpointId("i-1"), "10.0.0.9", 80},
                              .m_time_left = milliseconds(1200),
                              .m_account = ClientAccountId("acc"),
                              .m_urgency = 1});
}

}  // namespace

TEST_CASE("A request is decoded into typed fields") {
  const fleet::CallerRequest decoded =
      CallerProtocol().DecodeRequest(ValidRequest());
  CHECK(decoded.m_id == "r1");
  CHECK(decoded.m_path == "/a/b");
  CHECK(decoded.m_key == "secret");
  CHECK(decoded.m_deadline == milliseconds(1500));
  CHECK(decoded.m_model.value() == "m1");
  CHECK(decoded.m_adapter.value() == "a2");
  CHECK(decoded.m_prompt_tokens == 100);
  CHECK(decoded.m_output_tokens == 20);
  REQUIRE(decoded.m_prompt.size() == 2);
  CHECK(decoded.m_prompt[1].m_tokens == 20);
}

TEST_CASE("An endpoint receives the account, never the API key") {
  const endpoint::CallRequest call = Forward(ValidRequest());
  CHECK(SentHeader(call, "Authorization") == "absent");
  CHECK(SentHeader(call, "Tenant") == "acc");
  CHECK(SentHeader(call, "Expect-Instance") == "i-1");
  CHECK(SentHeader(call, "Deadline-Ms") == "1200");
  CHECK(SentHeader(call, "Request-Id") == "r1");
  CHECK(SentHeader(call, "X-Own") == "kept");
  CHECK(SentHeader(call, "Model") == "m1/a2");
  CHECK(call.m_target == "/a/b?q=1");
}

TEST_CASE("A caller cannot set headers that are reserved for the system") {
  const std::string name =
      GENERATE(as<std::string>(), "Tenant", "Expect-Instance", "Hold", "Pin-Ms",
               "Kv-Backup", "Kv-From", "Kv-Fetch", "expect-version");
  http::ServerRequest request = ValidRequest();
  request.m_headers.push_back({name, "forged"});
  const endpoint::CallRequest call = Forward(request);
  CHECK(SentHeader(call, name.c_str()) != "forged");
  CHECK(http::CountHeaders(call.m_headers, name) <= 1);
}

TEST_CASE("Hop-by-hop headers are not forwarded") {
  http::ServerRequest request = ValidRequest();
  request.m_headers.push_back({"Connection", "keep-alive, X-Hop"});
  request.m_headers.push_back({"X-Hop", "1"});
  request.m_headers.push_back({"Keep-Alive", "timeout=5"});
  const endpoint::CallRequest call = Forward(request);
  CHECK(SentHeader(call, "X-Hop") == "absent");
  CHECK(SentHeader(call, "Keep-Alive") == "absent");
  CHECK(SentHeader(call, "Connection") == "absent");
}

TEST_CASE("An ambiguous or malformed request is rejected") {
  http::ServerRequest request = ValidRequest();
  SECTION("two ids") {
    request.m_headers.push_back({"Request-Id", "r2"});
  }
  SECTION("two keys") {
    request.m_headers.push_back({"authorization", "Bearer other"});
  }
  SECTION("two hosts") {
    request.m_headers.push_back({"Host", "x"});
  }
  SECTION("no id") {
    std::erase_if(request.m_headers, [](const auto& field) {
      return field.m_name == "Request-Id";
    });
  }
  SECTION("an absolute target") {
    request.m_target = "http://x/";
  }
  SECTION("an odd method") {
    request.m_method = "CONNECT";
  }
  CHECK_THROWS_AS(CallerProtocol().DecodeRequest(request), Error);
}

TEST_CASE("Only Not-Executed or status 421 proves that a request did not run") {
  const CallerProtocol protocol;
  CHECK(
      protocol
          .DecodeAnswer({.m_status = 503, .m_headers = {{"Not-Executed", "1"}}})
          .m_not_executed);
  CHECK(
      protocol.DecodeAnswer({.m_status = 421, .m_headers = {}}).m_not_executed);
  CHECK_FALSE(
      protocol.DecodeAnswer({.m_status = 503, .m_headers = {}}).m_not_executed);
  CHECK_FALSE(
      protocol.DecodeAnswer({.m_status = 500, .m_headers = {}}).m_not_executed);
}

TEST_CASE("Server-Limit is decoded") {
  const CallerProtocol protocol;
  const auto limit = [&](const char* value) {
    return protocol
        .DecodeAnswer({.m_status = 200, .m_headers = {{"Server-Limit", value}}})
        .m_requests_per_second;
  };
  CHECK(limit("1.2") == 1.2);
  CHECK(limit("0") == 0);
  CHECK_FALSE(limit("-1"));
  CHECK_FALSE(limit("many"));
  CHECK_FALSE(limit("nan"));
  CHECK_FALSE(limit("inf"));
  CHECK_FALSE(protocol.DecodeAnswer({.m_status = 200}).m_requests_per_second);
}

TEST_CASE("Server-Leaving and Retry-After are decoded") {
  const CallerProtocol protocol;
  CHECK(protocol
            .DecodeAnswer(
                {.m_status = 200, .m_headers = {{"Server-Leaving", "1"}}})
            .m_leaving);
  CHECK_FALSE(protocol.DecodeAnswer({.m_status = 200}).m_leaving);
  const auto retry_after = [&](int status, const char* value) {
    return protocol
        .DecodeAnswer(
            {.m_status = status, .m_headers = {{"Retry-After", value}}})
        .m_retry_after;
  };
  CHECK(retry_after(503, "2") == seconds(2));
  CHECK(retry_after(503, "0.25") == milliseconds(250));
  // A server's 429 is about the caller, not about this host.
  CHECK_FALSE(retry_after(429, "2"));
  CHECK_FALSE(retry_after(503, "Wed, 21 Oct 2026 07:28:00 GMT"));
  CHECK_FALSE(retry_after(503, "-1"));
  CHECK(retry_after(503, "1e99") == seconds(300));
}

// Regression test (BUDGET): a crashing part must not escape by its spelling.
TEST_CASE("The ids of prompt parts are equal however they are written") {
  const CallerProtocol protocol;
  http::ServerRequest request = ValidRequest();
  for (http::HeaderField& field : request.m_headers) {
    if (field.m_name == "Prompt-Prefix") {
      field.m_value = "00BaD0:80, bad0 :20,0:1,000:1,bad0:7";
    }
  }
  const fleet::CallerRequest decoded = protocol.DecodeRequest(request);
  REQUIRE(decoded.m_prompt.size() == 5);
  CHECK(decoded.m_prompt[0].m_id == "bad0");
  CHECK(decoded.m_prompt[1].m_id == "bad0");
  CHECK(decoded.m_prompt[2].m_id == decoded.m_prompt[3].m_id);
}
