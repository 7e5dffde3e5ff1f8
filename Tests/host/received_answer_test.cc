#include "host/received_answer.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::host;

namespace {

ReceivedAnswer StreamAnswer(bool framed) {
  return {.m_head = {.m_status = 200, .m_ends_with_connection = !framed},
          .m_facts = {.m_signed = true, .m_event_stream = true}};
}

constexpr char kEvent[] = "id: 1\ndata: a\n\n";
constexpr char kUnfinished[] = "id: 2\nda";

}  // namespace

// Guards against broken streams that callers receive as complete (ORDER on
// swt-visits-grown): their framing said that they were.
TEST_CASE("A stream that ends inside an event is broken off") {
  for (const bool framed : {false, true}) {
    EventSplitter events;
    events.BeginAnswer();
    events.Feed(kEvent);
    CHECK(StreamAnswer(framed).Judge(events, true) == SendOutcome::kComplete);
    events.Feed(kUnfinished);
    CHECK(StreamAnswer(framed).Judge(events, true) ==
          SendOutcome::kStreamBrokenOff);
  }
}

// Guards against the same (ORDER): an empty answer ended a begun stream.
TEST_CASE("An answer without an event completes no stream") {
  for (const bool framed : {false, true}) {
    EventSplitter events;
    events.BeginAnswer();
    CHECK(StreamAnswer(framed).Judge(events, false) ==
          SendOutcome::kStreamBrokenOff);
    events.Feed(kEvent);
    events.BeginAnswer();
    CHECK(StreamAnswer(framed).Judge(events, true) ==
          SendOutcome::kStreamNotContinued);
  }
}

TEST_CASE("A caller that resumes may get an empty stream, if it is framed") {
  EventSplitter events("7");
  events.BeginAnswer();
  CHECK(StreamAnswer(true).Judge(events, false) == SendOutcome::kComplete);
  CHECK(StreamAnswer(false).Judge(events, false) ==
        SendOutcome::kStreamBrokenOff);
}

TEST_CASE("An answer that is no stream continues none") {
  ReceivedAnswer answer{.m_head = {.m_status = 200},
                        .m_facts = {.m_signed = true}};
  const EventSplitter events;
  CHECK(answer.Judge(events, false) == SendOutcome::kComplete);
  CHECK(answer.Judge(events, true) == SendOutcome::kStreamNotContinued);
  answer.m_head.m_status = 404;
  CHECK(answer.Judge(events, false) == SendOutcome::kComplete);
  CHECK(answer.Judge(events, true) == SendOutcome::kStreamNotContinued);
  answer.m_head.m_status = 500;
  CHECK(answer.Judge(events, false) == SendOutcome::kFailed);
  answer.m_facts.m_not_executed = true;
  CHECK(answer.Judge(events, true) == SendOutcome::kNotExecuted);
}

TEST_CASE("A success without the endpoint's signature is not its answer") {
  const EventSplitter events;
  for (const bool encoded : {false, true}) {
    const ReceivedAnswer answer{
        .m_head = {.m_status = 200},
        .m_facts = {.m_signed = encoded, .m_encoded = encoded}};
    CHECK(answer.Judge(events, false) == SendOutcome::kNotTheEndpoints);
  }
}

// Regression test (REFUSED): a status that callers take for "not run" was
// relayed although the endpoint had not said so.
TEST_CASE("A refusal proves nothing unless the endpoint did not execute") {
  const EventSplitter events;
  for (const int status : {408, 421, 429, 503}) {
    ReceivedAnswer answer{.m_head = {.m_status = status},
                          .m_facts = {.m_signed = true}};
    CHECK(answer.Judge(events, false) == SendOutcome::kUnprovenRefusal);
    CHECK(answer.Judge(events, true) == SendOutcome::kStreamNotContinued);
    answer.m_facts.m_not_executed = true;
    CHECK(answer.Judge(events, false) == SendOutcome::kNotExecuted);
  }
}
