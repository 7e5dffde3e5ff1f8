#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <map>

#include "routing/least_reported_load.h"
#include "routing/round_robin.h"
#include "routing/two_choices.h"

using namespace hickoryloft;
using namespace hickoryloft::routing;

namespace {

std::vector<EndpointRecord> MakeRecords(int count) {
  std::vector<EndpointRecord> records;
  records.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    records.push_back({.m_id = EndpointId("e" + std::to_string(i))});
  }
  return records;
}

EndpointTable::Candidates Pointers(const std::vector<EndpointRecord>& records) {
  EndpointTable::Candidates pointers;
  for (const EndpointRecord& record : records) {
    pointers.push_back(&record);
  }
  return pointers;
}

const std::string kPrompt(PrefixChain::kBlockBytes * 3, 'p');

}  // namespace

TEST_CASE("Prefix affinity respects the load bound") {
  CHECK(rc::check([] {
    const auto records = MakeRecords(*rc::gen::inRange(2, 10));
    const auto candidates = Pointers(records);
    LoadTracker loads;
    TwoChoices chooser(loads);
    RandomEngine random(*rc::gen::arbitrary<std::uint64_t>());
    const PrefixChain hot = HashPrefix("s/m@1", kPrompt);
    MonotonicTime now{seconds(100)};
    for (int sent = 0; sent < 100; ++sent) {
      const EndpointRecord* chosen =
          chooser.Choose(candidates, hot, now, random);
      loads.OnSent(chosen->m_id, now);
      now += milliseconds(10);
    }
    // All prompts share one prefix: affinity without a bound would send all of
    // them to the same endpoint.
    double highest = 0;
    for (const EndpointRecord& record : records) {
      highest = std::max(highest, loads.Load(record.m_id, now));
    }
    const double mean = 100.0 / static_cast<double>(records.size());
    RC_ASSERT(highest <= std::ceil(TwoChoices::kMaxLoadFactor * mean) + 2);
  }));
}

TEST_CASE("A prompt is sent to the endpoint that processed its prefix") {
  const auto records = MakeRecords(8);
  const auto candidates = Pointers(records);
  LoadTracker loads;
  TwoChoices chooser(loads);
  RandomEngine random(7);
  const MonotonicTime now{seconds(1)};
  const auto first = chooser.Choose(
      candidates, HashPrefix("s/m@1", kPrompt + "one"), now, random);
  for (int i = 0; i < 20; ++i) {
    CHECK(chooser.Choose(candidates,
                         HashPrefix("s/m@1", kPrompt + std::to_string(i)), now,
                         random) == first);
  }
  CHECK(HashPrefix("s/m@1", kPrompt).m_hashes !=
        HashPrefix("s/other@1", kPrompt).m_hashes);
}

TEST_CASE("The prefix table stays within its capacity") {
  PrefixTable table(16);
  for (int i = 0; i < 100; ++i) {
    const std::string prompt(PrefixChain::kBlockBytes * 4,
                             static_cast<char>('a' + i % 26));
    table.Record(HashPrefix(std::to_string(i), prompt), EndpointId("e"));
    CHECK(table.size() <= 16);
  }
}

TEST_CASE("The estimated load agrees with an oracle that counts every call") {
  CHECK(rc::check([] {
    LoadTracker loads;
    const EndpointId id("e");
    MonotonicTime now{seconds(10)};
    // Oracle: this entry is the only sender, so its own calls are the true
    // load.
    std::uint32_t running = 0;
    for (int step = 0; step < 100; ++step) {
      now += milliseconds(*rc::gen::inRange(100, 300));
      const int action = *rc::gen::inRange(0, 3);
      if (action == 0) {
        loads.OnSent(id, now);
        ++running;
      } else if (action == 1 && running > 0) {
        loads.OnFinished(id, now);
        --running;
      } else {
        loads.OnReport(id, {.m_running = running, .m_taken_at = now});
      }
      RC_ASSERT(loads.InFlight(id) == running);
      RC_ASSERT(loads.Load(id, now) == running);
    }
  }));
}

TEST_CASE("A load report is corrected by the calls sent since") {
  LoadTracker loads;
  const EndpointId id("e");
  const MonotonicTime start{seconds(10)};
  loads.OnReport(id, {.m_waiting = 2, .m_running = 8, .m_taken_at = start});
  for (int i = 1; i <= 3; ++i) {
    loads.OnSent(id, start + milliseconds(200 * i));
  }
  CHECK(loads.Load(id, start + seconds(1)) == 13);
  CHECK(loads.ReportedLoad(id) == 10);
  CHECK(loads.Waiting(id, start + seconds(1)) == 5);
  // An older report does not replace a newer one; one that is too old is
  // ignored.
  loads.OnReport(id, {.m_running = 99, .m_taken_at = start - seconds(1)});
  CHECK(loads.Load(id, start + seconds(1)) == 13);
  CHECK(loads.Load(id, start + LoadTracker::kMaxReportAge) == 3);
}

TEST_CASE("Round robin and least reported load choose as documented") {
  const auto records = MakeRecords(3);
  const auto candidates = Pointers(records);
  LoadTracker loads;
  RandomEngine random(1);
  RoundRobin round_robin;
  std::map<EndpointId, int> counts;
  for (int i = 0; i < 30; ++i) {
    ++counts[round_robin.Choose(candidates, {}, {}, random)->m_id];
  }
  CHECK(counts.size() == 3);
  CHECK(counts[EndpointId("e0")] == 10);
  loads.OnReport(EndpointId("e0"), {.m_running = 3});
  loads.OnReport(EndpointId("e1"), {.m_running = 1});
  loads.OnReport(EndpointId("e2"), {.m_running = 2});
  LeastReportedLoad least(loads);
  CHECK(least.Choose(candidates, {}, {}, random)->m_id == EndpointId("e1"));
}
