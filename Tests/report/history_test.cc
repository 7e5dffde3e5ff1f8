#include "report/history.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>

#include "base/error.h"

using namespace hickoryloft;
using namespace hickoryloft::report;

namespace {

Sample MakeSample(int second, const std::string& source, double value) {
  return {.m_time = WallTime(std::chrono::seconds(second)),
          .m_source = source,
          .m_series = {{.m_name = "requests",
                        .m_labels = {{"account", "a"}},
                        .m_value = value}}};
}

double TotalIncrease(const History& history, int begin, int end) {
  double sum = 0;
  for (const auto& [series] :
       history.IncreasesBetween(WallTime(std::chrono::seconds(begin)),
                                WallTime(std::chrono::seconds(end)),
                                [](const Series&) { return true; })) {
    sum += series.m_value;
  }
  return sum;
}

}  // namespace

TEST_CASE("Increases are summed over sources and count a restart from zero") {
  History history;
  history.Add(MakeSample(0, "one", 10));
  history.Add(MakeSample(0, "two", 5));
  history.Add(MakeSample(10, "one", 25));
  history.Add(MakeSample(10, "two", 2));  // Restarted.
  CHECK(TotalIncrease(history, 0, 10) == 17);
  CHECK(TotalIncrease(history, 10, 20) == 0);
}

TEST_CASE("A series that is missing from the first sample counts in full") {
  History history;
  Sample empty = MakeSample(0, "one", 0);
  empty.m_series.clear();
  history.Add(empty);
  history.Add(MakeSample(5, "one", 3));
  CHECK(TotalIncrease(history, 0, 5) == 3);
}

TEST_CASE(
    "A history is read back from its file and an invalid line is reported") {
  const std::string path =
      "report_history_test." + std::to_string(getpid()) + ".jsonl";
  AppendToFile(path, MakeSample(1, "one", 4));
  AppendToFile(path, MakeSample(2, "one", 6));
  CHECK(TotalIncrease(ReadHistory(path), 1, 2) == 2);
  FILE* file = std::fopen(path.c_str(), "a");
  REQUIRE(file != nullptr);
  std::fputs("{\"time_ms\":", file);
  std::fclose(file);
  try {
    ReadHistory(path);
    FAIL("the bad line was accepted");
  } catch (const Error& error) {
    CHECK(error.code() == ErrorCode::kInvalidArgument);
    CHECK(std::string(error.what()).find(path + ":3: ") == 0);
  }
  std::remove(path.c_str());
}

TEST_CASE("Malformed metrics are rejected with an Error") {
  CHECK_THROWS_AS(ParseSample({}, "x", "{\"a\":1}"), Error);
  CHECK_THROWS_AS(ParseSample({}, "x", "not JSON"), Error);
}
