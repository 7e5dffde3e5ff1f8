#include "host/event_splitter.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <string>

using namespace hickoryloft::host;

TEST_CASE(
    "Complete events are returned unchanged, however the stream is divided") {
  CHECK(rc::check("pieces", [] {
    const auto count = *rc::gen::inRange(1, 20);
    const auto partial = *rc::gen::arbitrary<bool>();
    std::string whole;
    for (int i = 1; i <= count; ++i) {
      whole += "id: " + std::to_string(i) + "\ndata: {\"x\":\"" +
               std::string(static_cast<std::size_t>(i), 'y') + "\"}\n\n";
    }
    const std::string sent = whole + (partial ? "id: 99\ndata: to" : "");
    EventSplitter splitter;
    std::string received;
    std::size_t at = 0;
    while (at < sent.size()) {
      const auto step = *rc::gen::inRange<std::size_t>(1, 40);
      received += splitter.Feed(std::string_view(sent).substr(at, step));
      at += step;
    }
    RC_ASSERT(received == whole);
    RC_ASSERT(splitter.last_id() == std::to_string(count));
    RC_ASSERT(splitter.events() == count);
    RC_ASSERT(splitter.partial_bytes() ==
              (partial ? std::string("id: 99\ndata: to").size() : 0));
  }));
}

TEST_CASE("Event ids are read from a stream with CRLF line ends") {
  EventSplitter splitter;
  CHECK(splitter.Feed("id:7\r\ndata: a\r\n\r\n") == "id:7\r\ndata: a\r\n\r\n");
  CHECK(splitter.last_id() == "7");
}

// Guards against a stream that repeats events or leaves some out (ORDER on
// swt-visits-grown): nothing compared the ids of two answers.
TEST_CASE("An answer that continues at another place is misplaced") {
  struct Case {
    std::string m_first;
    std::string m_next;
    bool m_misplaced;
  };
  const std::string one = "id: 1\ndata: a\n\n";
  const std::string two = "id: 2\ndata: b\n\n";
  const std::string three = "id: 3\ndata: c\n\n";
  const std::string four = "id: 4\ndata: d\n\n";
  for (const Case& example : {Case{one + two, three, false},
                              {one + two, one, true},
                              {one + two, two + three, true},
                              {one + two, four, true},
                              // The ids do not increase by one here.
                              {one + three, "id: 9\n\n", false},
                              {one, three, true},
                              {two, four, false},
                              {"id: x\n\n", "id: x\n\n", true},
                              {one + two, ": ping\n\n" + three, false},
                              {"id: x\n\n", "id: a\n\n", false},
                              {"data: a\n\n", "data: a\n\n", false}}) {
    CAPTURE(example.m_first, example.m_next);
    EventSplitter splitter;
    splitter.BeginAnswer();
    splitter.Feed(example.m_first);
    splitter.Feed("id: 77");
    splitter.BeginAnswer();
    CHECK(splitter.answer_events() == 0);
    CHECK(splitter.Feed(example.m_next) ==
          (example.m_misplaced ? "" : example.m_next));
    CHECK(splitter.misplaced() == example.m_misplaced);
  }
}

TEST_CASE("An answer must continue after the event that the caller has") {
  EventSplitter splitter("5");
  splitter.BeginAnswer();
  CHECK(splitter.Feed("id: 5\n\n").empty());
  CHECK(splitter.misplaced());
  splitter.BeginAnswer();
  CHECK(splitter.Feed("id: 6\n\n") == "id: 6\n\n");
  CHECK(splitter.last_id() == "6");
}

// An answer without an event completes no stream; a comment, which servers send
// to keep a connection open, is none, and neither is an empty line.
TEST_CASE("Comments and empty lines are no events") {
  for (const std::string bytes : {": ping\n\n", "\n\n", "\r\n\r\n"}) {
    CAPTURE(bytes);
    EventSplitter splitter;
    splitter.BeginAnswer();
    splitter.Feed(bytes);
    CHECK(splitter.answer_events() == 0);
  }
}
