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
