#include "host/unframed_end.h"

#include <catch2/catch.hpp>

using namespace hickoryloft::host;

// The failures guarded against: half an answer as a whole one (MIXED, review/6;
// ORDER, review/3, review/11), a whole one as broken off (LOST, review/10), and
// a doubtful one as proof that its request is sound (BUDGET, review/7).
TEST_CASE("Only an endpoint that goes on proves that its answer is whole") {
  CHECK(JudgeUnframedEnd(AfterEnd::kAnswers) == UnframedEnd::kWhole);
  CHECK(JudgeUnframedEnd(AfterEnd::kSilent) == UnframedEnd::kUncertain);
  CHECK(JudgeUnframedEnd(AfterEnd::kLeft) == UnframedEnd::kMayBeCut);
  CHECK(JudgeUnframedEnd(AfterEnd::kCrashed) == UnframedEnd::kBrokenOff);
}
