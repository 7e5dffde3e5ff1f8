#include "routing/fair_queue.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "routing/answer_estimate.h"
#include "routing/estimate_admission.h"
#include "routing/first_come_queue.h"
#include "routing/queue_limit_admission.h"
#include "routing/round_robin_account_queue.h"

using namespace hickoryloft;
using namespace hickoryloft::routing;

namespace {

constexpr std::uint64_t kMaxTokens = 1000;

bool Always(const std::string& /*served_name*/) {
  return true;
}

QueuedRequest Make(std::uint64_t id,
                   int account,
                   double weight,
                   std::uint64_t tokens,
                   int deadline_ms = 1000,
                   const std::string& served_name = "s/m@1") {
  return {.m_id = id,
          .m_account = ClientAccountId("a" + std::to_string(account)),
          .m_weight = weight,
          .m_tokens = tokens,
          .m_deadline = MonotonicTime(milliseconds(deadline_ms)),
          .m_served_name = served_name};
}

}  // namespace

TEST_CASE("Backlogged accounts are served by weight, to within one request") {
  CHECK(rc::check([] {
    const auto accounts = *rc::gen::inRange(2, 6);
    std::vector<double> weights;
    weights.reserve(static_cast<std::size_t>(accounts));
    for (int i = 0; i < accounts; ++i) {
      weights.push_back(*rc::gen::inRange(1, 5));
    }
    FairQueue queue;
    std::uint64_t next_id = 1;
    const auto push = [&](int account) {
      const auto tokens = *rc::gen::inRange<std::uint64_t>(1, kMaxTokens);
      queue.Push(Make(next_id++, account, weights[account], tokens));
    };
    for (int account = 0; account < accounts; ++account) {
      push(account);
      push(account);
    }
    std::map<int, double> served;
    for (int i = 0; i < 100; ++i) {
      const auto request = queue.Pop(&Always);
      RC_ASSERT(request.has_value());
      const int account = std::stoi(request->m_account.value().substr(1));
      served[account] +=
          static_cast<double>(request->m_tokens) / weights[account];
      push(account);
      // The normalized service of two backlogged accounts differs by at most
      // one request each.
      const auto lightest = std::min_element(weights.begin(), weights.end());
      const double bound = 2.0 * kMaxTokens / *lightest;
      for (int other = 0; other < accounts; ++other) {
        RC_ASSERT(std::abs(served[account] - served[other]) <= bound);
      }
    }
  }));
}

TEST_CASE(
    "A flooding account starves no other, and an idle one gains no credit") {
  CHECK(rc::check([] {
    FairQueue queue;
    std::uint64_t next_id = 1;
    const auto idle_rounds = *rc::gen::inRange(1, 50);
    // Account 1 is served alone for a while; account 2 is idle.
    for (int i = 0; i < idle_rounds; ++i) {
      queue.Push(Make(next_id++, 1, 1, kMaxTokens));
      RC_ASSERT(queue.Pop(&Always).has_value());
    }
    for (int i = 0; i < 40; ++i) {
      queue.Push(Make(next_id++, 1, 1, kMaxTokens));
      queue.Push(Make(next_id++, 2, 1, kMaxTokens));
    }
    std::map<ClientAccountId, int> served;
    for (int i = 0; i < 20; ++i) {
      ++served[queue.Pop(&Always)->m_account];
    }
    RC_ASSERT(std::abs(served[ClientAccountId("a1")] -
                       served[ClientAccountId("a2")]) <= 2);
  }));
}

TEST_CASE("Every queue returns exactly the requests pushed to it") {
  CHECK(rc::check([](bool deadline_matters) {
    std::unique_ptr<RequestQueue> queues[] = {
        std::make_unique<FairQueue>(), std::make_unique<FirstComeQueue>(),
        std::make_unique<RoundRobinAccountQueue>()};
    for (auto& queue : queues) {
      std::map<std::uint64_t, std::string> queued;
      std::uint64_t next_id = 1;
      for (int step = 0; step < 60; ++step) {
        const int action = *rc::gen::inRange(0, 4);
        const std::string open = *rc::gen::element<std::string>("x", "y");
        if (action < 2) {
          const int deadline = deadline_matters ? *rc::gen::inRange(0, 50) : 0;
          queue->Push(
              Make(next_id, *rc::gen::inRange(0, 3), 1, 10, deadline, open));
          queued[next_id++] = open;
        } else if (action == 2) {
          const auto id = *rc::gen::inRange<std::uint64_t>(1, next_id + 1);
          RC_ASSERT(queue->Remove(id) == (queued.erase(id) == 1));
        } else {
          const auto popped =
              queue->Pop([&](const std::string& name) { return name == open; });
          const bool expected = std::any_of(
              queued.begin(), queued.end(),
              [&](const auto& item) { return item.second == open; });
          RC_ASSERT(popped.has_value() == expected);
          if (popped) {
            RC_ASSERT(popped->m_served_name == open);
            RC_ASSERT(queued.erase(popped->m_id) == 1);
          }
        }
        RC_ASSERT(queue->size() == queued.size());
      }
    }
  }));
}

TEST_CASE("Within an account the earliest deadline is served first") {
  FairQueue queue;
  queue.Push(Make(1, 1, 1, 10, 900));
  queue.Push(Make(2, 1, 1, 10, 100, "s/n@1"));
  queue.Push(Make(3, 1, 1, 10, 500));
  CHECK(queue.Pop(&Always)->m_id == 2);
  CHECK(queue.Pop(&Always)->m_id == 3);
  CHECK(queue.Pop(&Always)->m_id == 1);
}

TEST_CASE("The number of requests ahead follows the accounts' shares") {
  FairQueue queue;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    queue.Push(Make(id, 1, 1, 10));
  }
  CHECK(queue.Ahead(ClientAccountId("a2"), 1) == 1);
  CHECK(queue.Ahead(ClientAccountId("a1"), 1) == 100);
  FirstComeQueue first_come;
  first_come.Push(Make(1, 1, 1, 10));
  CHECK(first_come.Ahead(ClientAccountId("a2"), 1) == 1);
}

TEST_CASE("A request is admitted if its estimate is within the patience") {
  AnswerEstimate estimate;
  estimate.RecordFirstAnswer(milliseconds(100));
  MonotonicTime now{};
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(50);
    estimate.RecordDispatch(now, /*others_wait=*/true);
  }
  const EstimateAdmission admission;
  const AdmissionInput input{.m_patience = seconds(1),
                             .m_ready_in = milliseconds(200),
                             .m_ahead = 10,
                             .m_interval = estimate.DispatchInterval(),
                             .m_first_answer = estimate.FirstAnswer()};
  const AdmissionDecision yes = admission.Decide(input);
  CHECK(yes.m_admitted);
  CHECK(ToMillis(yes.m_estimate + microseconds(500)) == milliseconds(800));
  AdmissionInput impatient = input;
  impatient.m_patience = milliseconds(500);
  const AdmissionDecision no = admission.Decide(impatient);
  CHECK_FALSE(no.m_admitted);
  // A retry after that delay, once the requests ahead are served, is admitted.
  CHECK(no.m_retry_after + impatient.m_patience >= no.m_estimate);
  CHECK(QueueLimitAdmission(11).Decide(impatient).m_admitted);
  CHECK_FALSE(QueueLimitAdmission(10).Decide(input).m_admitted);
}
