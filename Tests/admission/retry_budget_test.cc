#include "admission/retry_budget.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <vector>

using namespace hickoryloft;
using namespace hickoryloft::admission;

TEST_CASE("All hosts together stay within the budget of any window") {
  CHECK(rc::check("retries of a window", [] {
    const RetryLimits limits{
        .m_ratio = 0.2, .m_extra = 54, .m_window = seconds(10)};
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 9);
    std::vector<RetryBudget> budgets(hosts, RetryBudget(limits));
    const auto steps =
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 1000));
    std::vector<MonotonicTime> requests;
    std::vector<MonotonicTime> retries;
    MonotonicTime now;
    for (const int step : steps) {
      now += milliseconds(step % 100);
      RetryBudget& budget = budgets[static_cast<std::size_t>(step) % hosts];
      if (step % 3 == 0) {
        budget.CountRequest(now);
        requests.push_back(now);
      } else if (budget.TryRetry(hosts, now)) {
        retries.push_back(now);
      }
      const auto recent = [&](const std::vector<MonotonicTime>& times) {
        return std::count_if(times.begin(), times.end(), [&](auto at) {
          return at + limits.m_window >= now;
        });
      };
      RC_ASSERT(static_cast<double>(recent(retries)) <=
                limits.m_ratio * static_cast<double>(recent(requests)) +
                    limits.m_extra);
    }
  }));
}

TEST_CASE("A refusing endpoint causes no retries beyond the budget") {
  RetryBudget budget({.m_ratio = 0.2, .m_extra = 10, .m_window = seconds(10)});
  MonotonicTime now;
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    taken += budget.TryRetry(1, now) ? 1 : 0;
  }
  CHECK(taken <= 10);
  CHECK(taken > 0);
}
