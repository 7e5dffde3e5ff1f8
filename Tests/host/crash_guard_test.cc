#include "host/crash_guard.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "admission/request_fingerprint.h"

using namespace hickoryloft;
using namespace hickoryloft::host;

namespace {

fleet::CallerRequest RequestWithParts(const std::vector<std::string>& parts) {
  fleet::CallerRequest request{
      .m_target = "/chat/1?a=b", .m_host = "shop.example", .m_body = "body"};
  for (const std::string& part : parts) {
    request.m_prompt.push_back({.m_id = part, .m_tokens = 10});
  }
  return request;
}

std::vector<std::string> IdsOf(const std::vector<admission::PartInUse>& parts) {
  std::vector<std::string> ids;
  ids.reserve(parts.size());
  for (const admission::PartInUse& part : parts) {
    ids.push_back(part.m_id);
  }
  return ids;
}

}  // namespace

TEST_CASE(
    "A request stands for the shared parts of its prompt and for itself") {
  const ClientAccountId account("shop");
  const fleet::CallerRequest request = RequestWithParts({"f00d", "77", "1"});
  const std::string fingerprint =
      admission::FingerprintOf("shop", "shop.example/chat/1?a=b", "body");
  const auto parts = PartsOf(request, account);
  CHECK(IdsOf(parts) == std::vector<std::string>{fingerprint, "f00d", "77"});
  CHECK(parts[2].m_depth == 1);
  CHECK(Describe(parts) == fingerprint + ",f00d,77");
  CHECK(IdsOf(PartsOf(RequestWithParts({}), account)) ==
        std::vector<std::string>{fingerprint});
}

TEST_CASE("The id of a request does not change its fingerprint") {
  fleet::CallerRequest again = RequestWithParts({});
  again.m_id = "another";
  again.m_key = "another key of the account";
  const ClientAccountId account("shop");
  CHECK(IdsOf(PartsOf(again, account)) ==
        IdsOf(PartsOf(RequestWithParts({}), account)));
  CHECK(IdsOf(PartsOf(again, ClientAccountId())) !=
        IdsOf(PartsOf(again, account)));
}

// Callers choose the ids of prompt parts, and could name a fingerprint.
TEST_CASE("A prompt part that is no valid part of a key is left out") {
  const std::string fingerprint = admission::FingerprintOf("", "/x", "");
  const auto parts =
      PartsOf(RequestWithParts({fingerprint, "a/b", "", "ok", "last"}),
              ClientAccountId("shop"));
  REQUIRE(parts.size() == 2);
  CHECK(parts[0].m_id != fingerprint);
  CHECK(parts[1].m_id == "ok");
  CHECK(parts[1].m_depth == 3);
}
