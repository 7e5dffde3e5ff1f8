#include "entry/credentials.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "entry/completion_body.h"

using namespace hickoryloft;
using namespace hickoryloft::entry;

TEST_CASE("The key is found only as a bearer token") {
  CHECK(FindKey({{"authorization", "bearer  abc "}}) == "abc");
  CHECK(FindKey({{"Authorization", "Basic abc"}}) == std::nullopt);
  CHECK(FindKey({{"Authorization", "Bearer "}}) == std::nullopt);
  CHECK(FindKey({{"Authorization", "Bearer    "}}) == std::nullopt);
  CHECK(FindKey({}) == std::nullopt);
}

TEST_CASE("Headers and parameters that contain the key are not forwarded") {
  CHECK(rc::check([] {
    const std::string key =
        "k-" + *rc::gen::container<std::string>(10, rc::gen::inRange('a', 'z'));
    endpoint::HeaderFields headers;
    std::string query;
    for (int i = 0; i < 8; ++i) {
      const bool with_key = *rc::gen::arbitrary<bool>();
      const std::string value =
          "v" + std::to_string(i) + (with_key ? key + "x" : "");
      headers.push_back({"X-" + std::to_string(i), value});
      query += (query.empty() ? "" : "&") + ("p=" + value);
    }
    for (const auto& field : ForwardableHeaders(headers, key)) {
      RC_ASSERT(field.m_value.find(key) == std::string::npos);
    }
    RC_ASSERT(RemoveKeyFromQuery(query, key).find(key) == std::string::npos);
  }));
  CHECK(RemoveKeyFromQuery("a=1&k=%73ecret-key-1&b=2", "secret-key-1") ==
        "a=1&b=2");
  CHECK(ForwardableHeaders({{"Connection", "close"}, {"Accept", "x"}}, "")
            .size() == 1);
}

TEST_CASE("Completion bodies are parsed and invalid members rejected") {
  const CompletionBody body = ParseCompletionBody(
      R"({"model":"m:a","messages":[{"role":"user","content":"hello"}]})", 64);
  CHECK(body.m_model == "m");
  CHECK(body.m_adapter == "a");
  CHECK(body.m_max_tokens == 64);
  CHECK(body.m_json["max_tokens"] == 64);
  for (const char* bad : {"", "[]", "{}", R"({"model":7,"prompt":"x"})",
                          R"({"model":"m"})", R"({"model":"m","prompt":7})",
                          R"({"model":"m","prompt":"x","stream":1})",
                          R"({"model":"m","prompt":"x","max_tokens":-1})",
                          R"({"model":"m","messages":["x"]})"}) {
    CHECK_THROWS_AS(ParseCompletionBody(bad, 64), Error);
  }
}
