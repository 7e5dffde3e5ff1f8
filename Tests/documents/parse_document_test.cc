#include "documents/parse_document.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "documents/diff_documents.h"

using namespace hickoryloft;
using namespace hickoryloft::documents;

namespace {

const std::string kDigest(64, 'a');

const std::string kGood = R"(key_salt = "6f1c"
default_patience_ms = 10000
[capacity]
loads_per_second = 7
draining = ["engine-3"]
[objectives]
first_answer_ms = 400
[kinds.payout]
weight = 5
[models.condition-notes]
version = "3"
bytes = 8000000000
peak_bytes = 9000000000
max_replicas = 2
[models.condition-notes.adapters.recife]
version = "1"
bytes = 60000000
[accounts.counter]
tokens_per_second = 500
burst_tokens = 5000
[accounts.counter.keys.till-1]
digest = ")" + kDigest + R"("
[services.ledger.routes.payouts]
path = "/payouts"
kind = "payout"
idempotent = false
)";

Document Parse(const std::string& text) {
  return ParseDocument(ServiceId("returns"), text, "returns.toml");
}

std::string FailureOf(const std::string& text) {
  try {
    Parse(text);
  } catch (const Error& error) {
    CHECK(error.code() == ErrorCode::kInvalidDocument);
    return error.what();
  }
  return "no failure";
}

// Returns kGood with `from` replaced by `to`.
std::string With(const std::string& from, const std::string& to) {
  std::string text = kGood;
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("A complete document is parsed") {
  const Document document = Parse(kGood);
  const ModelSpec& model = document.m_models.at(ModelId("condition-notes"));
  CHECK(model.m_peak_bytes == 9000000000);
  CHECK(model.m_adapters.at(AdapterId("recife")).m_version == "1");
  const ClientAccountSpec& account =
      document.m_accounts.at(ClientAccountId("counter"));
  CHECK(account.m_tokens_per_second == 500);
  REQUIRE(account.m_keys.size() == 1);
  CHECK(account.m_keys[0].m_name == "till-1");
  const PlainServiceSpec& ledger =
      document.m_plain_services.at(ServiceId("ledger"));
  REQUIRE(ledger.m_routes.size() == 1);
  CHECK_FALSE(ledger.m_routes[0].m_idempotent);
  CHECK(document.m_capacity.m_draining.contains(EndpointId("engine-3")));
}

TEST_CASE("Each kind of error names source, line and key") {
  CHECK(FailureOf(With("default_patience_ms", "default_patience_m")) ==
        "returns.toml:2: 'default_patience_m': unknown; did you mean "
        "'default_patience_ms'?");
  CHECK(FailureOf(With("tokens_per_second = 500", "tokens_per_second = -1")) ==
        "returns.toml:19: 'accounts.counter.tokens_per_second': the value -1 "
        "is outside 0 to 1e+12");
  CHECK(FailureOf(With("burst_tokens = 5000", "")) ==
        "returns.toml:18: 'accounts.counter.burst_tokens': is required; add "
        "it");
  CHECK(FailureOf(With("peak_bytes = 9000000000", "peak_bytes = 1")) ==
        "returns.toml:13: 'models.condition-notes.peak_bytes': must be at "
        "least 'bytes', 8000000000");
  CHECK(FailureOf(With(kDigest, "abc")).find("returns.toml:22: ") == 0);
  CHECK(FailureOf(With("kind = \"payout\"", "kind = \"refund\""))
            .find("returns.toml:25: 'services.ledger.routes.payouts.kind': no "
                  "table [kinds.refund]") == 0);
  for (const char* path : {"payouts", "/a/../b", "//", "/a?b", "/%2e", "/ "}) {
    CAPTURE(path);
    CHECK(FailureOf(With("\"/payouts\"", '"' + std::string(path) + '"'))
              .find("returns.toml:24: ") == 0);
  }
  CHECK(FailureOf(With("weight = 5", "weight = \"x\"")) ==
        "returns.toml:9: 'kinds.payout.weight': expected a number");
  CHECK(FailureOf(kGood + "open = true\n").find("cannot be open") !=
        std::string::npos);
  CHECK(FailureOf("[models\n").find("returns.toml:1: not valid TOML") == 0);
}

TEST_CASE("Names and digests are unique, and names are well formed") {
  CHECK(FailureOf(kGood + "[accounts.counter]\n").find("not valid TOML") !=
        std::string::npos);
  CHECK(FailureOf(kGood + "[accounts.counter.keys.till-2]\ndigest = \"" +
                  kDigest + "\"\n")
            .find("has the digest of 'counter.keys.till-1'") !=
        std::string::npos);
  CHECK(FailureOf(kGood + "[services.ledger.routes.again]\npath = "
                          "\"/payouts\"\n")
            .find("is the path of route") != std::string::npos);
  CHECK(FailureOf(With("\"engine-3\"", "\"engine-3\", \"engine-3\""))
            .find("listed twice") != std::string::npos);
  CHECK(FailureOf(kGood + "[kinds.\"a:b\"]\n").find("is not a name") !=
        std::string::npos);
  CHECK(FailureOf(With("key_salt = \"6f1c\"", "")).find("'key_salt'") !=
        std::string::npos);
}

TEST_CASE("A document over one megabyte is refused") {
  const std::string text =
      kGood + '#' + std::string(kMaxDocumentBytes, 'x') + '\n';
  CHECK(FailureOf(text).find("the limit is 1048576") != std::string::npos);
}

TEST_CASE("The difference of two documents lists each changed value") {
  const Document before = Parse(kGood);
  const Document after = Parse(
      With("burst_tokens = 5000", "burst_tokens = 6000") + "[kinds.note]\n");
  const std::vector<DocumentChange> expected = {
      {ChangeKind::kChanged, "accounts.counter.burst_tokens", "5000", "6000"},
      {ChangeKind::kAdded, "kinds.note.weight", "", "1"},
  };
  CHECK(DiffDocuments(before, after) == expected);
  CHECK(DiffDocuments(before, before).empty());
}
