#include "http/message_parser.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

using namespace hickoryloft::http;

namespace {

constexpr std::size_t kHeadLimit = 1024;

struct Parsed {
  std::optional<MessageHead> m_head;
  std::string m_body;
  int m_ends = 0;
};

class Harness {
 public:
  explicit Harness(MessageType type)
      : m_parser(type,
                 kHeadLimit,
                 {.m_head =
                      [this](MessageHead&& head) {
                        m_parsed.m_head = std::move(head);
                      },
                  .m_body =
                      [this](std::string_view bytes) {
                        m_parsed.m_body.append(bytes);
                      },
                  .m_end = [this] { ++m_parsed.m_ends; }}) {}

  // Feeds `text` in pieces of `step` bytes and returns the number of bytes
  // parsed.
  std::size_t Feed(std::string_view text, std::size_t step) {
    std::size_t parsed = 0;
    while (parsed < text.size()) {
      const std::size_t now = m_parser.Feed(text.substr(parsed, step));
      if (now == 0) {
        break;
      }
      parsed += now;
    }
    return parsed;
  }

  Parsed m_parsed;
  MessageParser m_parser;
};

}  // namespace

TEST_CASE("The end of a message does not depend on how it is split") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde";
  CHECK(rc::check("bytes after the message are not parsed", [&] {
    const std::string message = *rc::gen::element(chunked, sized);
    const std::string extra = *rc::gen::element<std::string>(
        "", "HTTP/1.1 200 OK\r\n\r\n", "garbage");
    const auto step = *rc::gen::inRange<std::size_t>(1, 64);
    Harness harness(MessageType::kResponse);
    RC_ASSERT(harness.Feed(message + extra, step) == message.size());
    RC_ASSERT(harness.m_parser.complete());
    RC_ASSERT(harness.m_parsed.m_body == "abcde");
    RC_ASSERT(harness.m_parsed.m_ends == 1);
  }));
}

// Guards against a fault found by fuzz_http_message: a request head that
// arrived in small pieces was rejected as too large.
TEST_CASE("The counted size of a head does not depend on how it is split") {
  const std::string name(kHeadLimit / 2, 'n');
  const std::string fits =
      "POST / HTTP/1.1\r\nHost: h\r\n" + name + ": v\r\n\r\n";
  const std::string too_large =
      "POST / HTTP/1.1\r\nHost: h\r\n" + name + name + ": v\r\n\r\n";
  for (const std::size_t step : {std::size_t{1}, std::size_t{7}, kHeadLimit}) {
    Harness harness(MessageType::kRequest);
    harness.Feed(fits, step);
    CHECK(harness.m_parser.complete());
    Harness refused(MessageType::kRequest);
    refused.Feed(too_large, step);
    CHECK(refused.m_parser.error() == ParseError::kHeadTooLarge);
  }
}

TEST_CASE("A message with ambiguous framing is rejected") {
  const std::string text = GENERATE(
      as<std::string>(),
      "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "GET / HTTP/1.1\r\nBad Name: x\r\n\r\n", "\x01\x02\x03\x04\r\n\r\n",
      "GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n");
  Harness harness(MessageType::kRequest);
  harness.Feed(text, text.size());
  CHECK(harness.m_parser.error() == ParseError::kMalformed);
  CHECK(harness.m_parsed.m_ends == 0);
}

TEST_CASE("An oversized head is distinguished from a malformed one") {
  Harness harness(MessageType::kRequest);
  harness.Feed("GET /" + std::string(2 * kHeadLimit, 'a') + " HTTP/1.1\r\n\r\n",
               100);
  CHECK(harness.m_parser.error() == ParseError::kHeadTooLarge);
}

TEST_CASE(
    "A response without framing is complete at the end of its connection") {
  Harness harness(MessageType::kResponse);
  harness.Feed("HTTP/1.1 200 OK\r\n\r\nabc", 7);
  CHECK_FALSE(harness.m_parser.complete());
  CHECK(harness.m_parser.FeedEnd());
  CHECK(harness.m_parsed.m_body == "abc");
}

TEST_CASE("A truncated response is not complete at the end of its connection") {
  Harness harness(MessageType::kResponse);
  harness.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", 100);
  CHECK_FALSE(harness.m_parser.FeedEnd());
  Harness head_only(MessageType::kResponse);
  head_only.Feed("HTTP/1.1 200 OK\r\nConte", 100);
  CHECK_FALSE(head_only.m_parser.FeedEnd());
}

TEST_CASE("Interim responses are skipped") {
  Harness harness(MessageType::kResponse);
  const std::string text =
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 204 No Content\r\n\r\n";
  CHECK(harness.Feed(text, 5) == text.size());
  REQUIRE(harness.m_parsed.m_head);
  CHECK(harness.m_parsed.m_head->m_status == 204);
}

// Guards against an answer whose status is none: 000 was skipped as an interim
// response and its body became the beginning of the next one (MIXED), and 600
// was passed on.
TEST_CASE("A status outside 100 to 599 is malformed") {
  const std::string status =
      GENERATE("000", "001", "099", "101", "600", "999", "1000", "-20", "2x0");
  const std::string rest =
      GENERATE("Content-Length: 3\r\n\r\nabc",
               "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
               "\r\n", "Content-Length: 0\r\n\r\n");
  const auto step = GENERATE(as<std::size_t>(), 1, 7, 4096);
  CAPTURE(status, rest, step);
  Harness harness(MessageType::kResponse);
  harness.Feed("HTTP/1.1 " + status + " Odd\r\n" + rest +
                   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
               step);
  CHECK(harness.m_parser.error() == ParseError::kMalformed);
  CHECK_FALSE(harness.m_parsed.m_head);
  CHECK(harness.m_parsed.m_body.empty());
  CHECK_FALSE(harness.m_parser.FeedEnd());
}

TEST_CASE("Every status from 200 to 599 ends the response") {
  for (int status = 200; status <= 599; ++status) {
    Harness harness(MessageType::kResponse);
    harness.Feed("HTTP/1.1 " + std::to_string(status) +
                     " S\r\nContent-Length: 0\r\n\r\n",
                 4096);
    REQUIRE(harness.m_parsed.m_head);
    CHECK(harness.m_parsed.m_head->m_status == status);
  }
}

// Guards against MIXED: the body that the head of an interim response announces
// was passed on as that of the final one.
TEST_CASE("An interim response has no body") {
  const std::string framing =
      GENERATE("Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "");
  const auto step = GENERATE(as<std::size_t>(), 1, 4096);
  const std::string interim = "HTTP/1.1 103 Early\r\n" + framing + "\r\n";
  Harness harness(MessageType::kResponse);
  SECTION("the final response follows its head") {
    harness.Feed(interim + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
                 step);
    CHECK(harness.m_parser.complete());
    CHECK(harness.m_parsed.m_body == "abcde");
  }
  SECTION("other bytes follow its head") {
    harness.Feed(interim + "early", step);
    CHECK(harness.m_parser.error() == ParseError::kMalformed);
    CHECK(harness.m_parsed.m_body.empty());
  }
}
