#include "tools/ctl/document_edit.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "documents/parse_document.h"
#include "tools/common/blocking_http.h"

using namespace hickoryloft;
using namespace hickoryloft::tools;

namespace {

const ServiceId kService("jarro");
const std::string kDigest(64, 'a');

std::string SampleText() {
  return "# Kept comment\n"
         "key_salt = \"5a17\"\n"
         "[capacity]\n"
         "loads_per_second = 7\n"
         "[accounts.counter]\n"
         "tokens_per_second = 10\n"
         "burst_tokens = 100\n"
         "[accounts.counter.keys.till-1]\n"
         "digest = \"" +
         kDigest + "\"\n";
}

std::size_t KeyCount(const std::string& text) {
  const auto document = documents::ParseDocument(kService, text, "test");
  return document.m_accounts.at(ClientAccountId("counter")).m_keys.size();
}

ErrorCode ErrorCodeOf(const std::function<void()>& edit) {
  try {
    edit();
  } catch (const Error& error) {
    return error.code();
  }
  FAIL("the edit was accepted");
  return ErrorCode::kIo;
}

}  // namespace

TEST_CASE(
    "Adding and removing a key leaves the rest of the document unchanged") {
  const std::string text = SampleText();
  const std::string added =
      AddKey(kService, text, {"counter", "till-2"}, std::string(64, 'b'));
  CHECK(KeyCount(added) == 2);
  const std::string removed = RemoveKey(kService, added, {"counter", "till-1"});
  CHECK(KeyCount(removed) == 1);
  CHECK(removed.find("# Kept comment") == 0);
}

TEST_CASE("Edits that are invalid or unsafe fail with an error code") {
  const std::string text = SampleText();
  CHECK(ErrorCodeOf([&] {
          AddKey(kService, text, {"counter", "till-1"}, std::string(64, 'b'));
        }) == ErrorCode::kInvalidDocument);
  CHECK(ErrorCodeOf([&] {
          RemoveKey(kService, text, {"counter", "x"});
        }) == ErrorCode::kNotFound);
  const std::string dotted =
      "key_salt = \"5a17\"\n[accounts.counter]\ntokens_per_second = 10\n"
      "burst_tokens = 100\nkeys.till-1.digest = \"" +
      kDigest + "\"\n";
  CHECK(ErrorCodeOf([&] {
          RemoveKey(kService, dotted, {"counter", "till-1"});
        }) == ErrorCode::kInvalidDocument);
}

TEST_CASE("Draining an endpoint is idempotent and can be undone") {
  const EndpointId engine("engine-3");
  const std::string drained = SetDraining(kService, SampleText(), engine, true);
  CHECK(SetDraining(kService, drained, engine, true) == drained);
  const std::string undrained = SetDraining(kService, drained, engine, false);
  CHECK(documents::ParseDocument(kService, undrained, "test")
            .m_capacity.m_draining.empty());
  CHECK(ErrorCodeOf([&] {
          SetDraining(kService, "key_salt = \"5a17\"\n", engine, true);
        }) == ErrorCode::kInvalidDocument);
}

TEST_CASE("Valid addresses are parsed and invalid ones rejected") {
  CHECK(ParseHostPort("127.0.0.1:80").m_port == 80);
  CHECK(ParseHostPort("[::1]:8080").m_address == "::1");
  CHECK_THROWS_AS(ParseHostPort("127.0.0.1"), Error);
  CHECK_THROWS_AS(ParseHostPort("127.0.0.1:70000"), Error);
}
