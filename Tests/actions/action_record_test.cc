#include "actions/action_record.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "base/error.h"

namespace hickoryloft::actions {
namespace {

TEST_CASE("a batch with arbitrary bytes is parsed back as it was formatted") {
  const bool held = rc::check(
      [](const std::string& key, std::string body, std::uint64_t attempt) {
        body += std::string("\0\x7f\x80\xff", 4);
        const ActionBatch batch{
            .m_fence = 3,
            .m_incarnation = ~std::uint64_t{0},
            .m_nonce = 5,
            .m_records = {{.m_kind = RecordKind::kAnswered,
                           .m_id = {.m_account = "clinic", .m_key = key},
                           .m_attempt = attempt,
                           .m_at = WallTime(milliseconds(7)),
                           .m_answer = {.m_status = 201, .m_body = body}}}};
        const ActionBatch read = ParseBatch(ToText(batch));
        RC_ASSERT(read.m_incarnation == batch.m_incarnation);
        RC_ASSERT(read.m_records.size() == 1U);
        RC_ASSERT(read.m_records[0].m_id == batch.m_records[0].m_id);
        RC_ASSERT(read.m_records[0].m_attempt == attempt);
        RC_ASSERT(read.m_records[0].m_answer == batch.m_records[0].m_answer);
      });
  REQUIRE(held);
}

TEST_CASE("a malformed batch is rejected with an Error") {
  constexpr const char* kUnknownKind =
      R"({"fence":1,"incarnation":1,"nonce":1,"records":[{"kind":"other"}]})";
  for (const char* text : {"", "{}", "[1]", R"({"fence":"x"})", kUnknownKind}) {
    CHECK_THROWS_AS(ParseBatch(text), Error);
  }
}

}  // namespace
}  // namespace hickoryloft::actions
