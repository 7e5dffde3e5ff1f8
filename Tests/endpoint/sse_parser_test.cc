#include "endpoint/sse_parser.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace hickoryloft::endpoint;

TEST_CASE("The events do not depend on how the stream is split into pieces") {
  CHECK(rc::check([] {
    const auto tokens = *rc::gen::inRange<std::size_t>(0, 20);
    std::string stream;
    for (std::size_t i = 0; i < tokens; ++i) {
      stream += i % 2 == 0 ? "data: {\"t\":" : ": note\r\nid: 7\r\ndata:";
      stream += std::to_string(i);
      stream += i % 2 == 0 ? "}\n\n" : "\r\n\r\n";
    }
    const std::string whole = stream + "data: [DONE]\n\n";
    const auto cut = *rc::gen::inRange<std::size_t>(0, whole.size());
    SseParser parser;
    std::string relayed;
    std::uint64_t counted = 0;
    bool finished = false;
    for (std::size_t at = 0; at < whole.size();) {
      const auto piece = *rc::gen::inRange<std::size_t>(1, cut + 2);
      const SseBatch batch =
          parser.Feed(std::string_view(whole).substr(at, piece));
      at += piece;
      relayed += batch.m_text;
      counted += batch.m_tokens;
      finished = finished || batch.m_done_marker;
    }
    RC_ASSERT(relayed == whole);
    RC_ASSERT(counted == tokens);
    RC_ASSERT(finished);
  }));
}

TEST_CASE("An incomplete event is withheld and an oversized one is reported") {
  SseParser parser;
  CHECK(parser.Feed("data: 1\n\ndata: 2\n").m_text == "data: 1\n\n");
  parser.Reset();
  CHECK(parser.Feed("data: 3\n\n").m_text == "data: 3\n\n");
  CHECK(
      parser.Feed(std::string(SseParser::kMaxEventBytes + 1, 'x')).m_malformed);
}
