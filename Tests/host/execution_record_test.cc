#include "host/execution_record.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::host;

// A caller that left in the middle of a send was counted as one whose request
// had not run, and its account got the tokens back (QUOTA, review/4).
TEST_CASE("A send that ends without proof may have run") {
  ExecutionRecord record;
  CHECK(record.not_run());
  record.BeginSend(EndpointId("a"));
  CHECK_FALSE(record.not_run());
  record.EndSend(SendEnd::kMayHaveRun);
  CHECK_FALSE(record.not_run());
  CHECK(record.endpoints() == 1);
  // Another end, such as the caller's leaving, proves nothing about it.
  record.EndSend(SendEnd::kNotExecuted);
  CHECK_FALSE(record.not_run());
}

// A refusal may promise that the request has not run, and its tokens come back,
// only if this is certain of each send.
TEST_CASE("A proof concerns its own send only") {
  ExecutionRecord record;
  record.BeginSend(EndpointId("a"));
  record.EndSend(SendEnd::kNotExecuted);
  CHECK(record.not_run());
  record.BeginSend(EndpointId("a"));
  record.EndSend(SendEnd::kMayHaveRun);
  record.BeginSend(EndpointId("a"));
  record.EndSend(SendEnd::kNotExecuted);
  CHECK_FALSE(record.not_run());
  CHECK(record.endpoints() == 1);
}

TEST_CASE("A request that was never sent has not run") {
  ExecutionRecord record;
  record.EndSend(SendEnd::kMayHaveRun);
  CHECK(record.not_run());
  CHECK(record.endpoints() == 0);
}
