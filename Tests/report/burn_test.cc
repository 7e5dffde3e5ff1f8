#include "report/burn.h"

#include <catch2/catch.hpp>

#include "report/html_report.h"
#include "report/text_report.h"

using namespace hickoryloft;
using namespace hickoryloft::report;

namespace {

Series Counter(const std::string& name,
               std::map<std::string, std::string> labels,
               double value) {
  return {.m_name = name, .m_labels = std::move(labels), .m_value = value};
}

Series FirstAnswers(double fast, double slow) {
  return {.m_name = "loft_entry_first_answer_seconds",
          .m_labels = {{"account", "quiet"}, {"kind", "visit"}},
          .m_value = 0,
          .m_buckets = {.m_bounds_seconds = {0.4, 0.8},
                        .m_counts = {fast, slow},
                        .m_total = fast + slow}};
}

// One hour: "quiet" has 100 requests, of which 10 get late answers and 2 are
// refused within its rate; "busy" has 50 of 200 requests refused beyond its
// rate.
History SampleHistory() {
  History history;
  history.Add({.m_time = WallTime(std::chrono::seconds(0)),
               .m_source = "h1",
               .m_series = {}});
  const std::map<std::string, std::string> quiet = {{"account", "quiet"},
                                                    {"kind", "visit"}};
  const std::map<std::string, std::string> busy = {{"account", "busy"},
                                                   {"kind", "visit"}};
  auto refused_within_rate = quiet;
  refused_within_rate.insert(
      {{"reason", "no-capacity"}, {"within_rate", "true"}});
  auto refused_beyond_rate = busy;
  refused_beyond_rate.insert({{"reason", "rate"}, {"within_rate", "false"}});
  history.Add(
      {.m_time = WallTime(std::chrono::seconds(3600)),
       .m_source = "h1",
       .m_series = {
           Counter("loft_entry_requests_total", quiet, 100),
           Counter("loft_entry_completions_total", quiet, 98),
           Counter("loft_entry_refusals_total", refused_within_rate, 2),
           Counter("loft_entry_requests_total", busy, 200),
           Counter("loft_entry_completions_total", busy, 150),
           Counter("loft_entry_refusals_total", refused_beyond_rate, 50),
           Counter("loft_entry_late_first_answers_total",
                   {{"cause", "cold-start"}}, 10),
           FirstAnswers(90, 10)}});
  return history;
}

}  // namespace

TEST_CASE("Burn rates are computed from the objectives") {
  const auto windows = ComputeWindowBurns(SampleHistory(), BurnInputs{});
  REQUIRE(windows.size() == 3);
  const auto& hour = windows[1];
  CHECK(hour.m_fully_covered);
  CHECK_FALSE(windows[2].m_fully_covered);
  CHECK(hour.m_burns[0].m_rate == Approx(0.10 / 0.05));
  CHECK(hour.m_burns[0].m_tally.m_causes.at("cold-start") == 10);
  CHECK(hour.m_burns[1].m_rate == Approx(2.0 / 300 / 0.001));
  CHECK(hour.m_burns[2].m_tally.m_causes.count("quiet") == 1);
  CHECK(hour.m_burns[2].m_rate == Approx(0.02 / 0.05));
  CHECK(hour.m_burns[3].m_rate == 0);
}

TEST_CASE("Reports list burning objectives with causes and escape HTML") {
  const History history = SampleHistory();
  const auto windows = ComputeWindowBurns(history, BurnInputs{});
  const std::string text = TextReport(windows);
  CHECK(text.find("Burning over 5 min: first answer in time") !=
        std::string::npos);
  CHECK(text.find("why: cold-start 10") != std::string::npos);
  const auto plot = ComputeBurnPlot(history, BurnInputs{},
                                    std::chrono::milliseconds(600000), 6);
  const std::string html = HtmlReport("<jarro>", windows, plot);
  CHECK(html.find("&lt;jarro&gt;") != std::string::npos);
  CHECK(html.find("<jarro>") == std::string::npos);
  CHECK(html.find("http") == std::string::npos);
}
